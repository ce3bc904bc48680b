"""Common parts of the SQLite stores: WAL with synchronous FULL, exclusive locking, transactions."""

import os
import sqlite3
from contextlib import contextmanager

from ..errors.stores import DamagedStore, ForeignStore, LockedStore, UnusableStore

LOCK_TIMEOUT = 0.2  # seconds to wait for the lock: a process that ends closes its store at once


def prepare(connection, path, application_id, foreign_message):
    """Sets locking and WAL mode; returns whether the file is empty.

    Raises ForeignStore with foreign_message if the file has another application id.
    """
    execute = connection.execute
    execute("PRAGMA locking_mode = EXCLUSIVE")
    existing_id = execute("PRAGMA application_id").fetchone()[0]
    tables = execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
    if existing_id != application_id and tables:
        raise ForeignStore(f"{path}: {foreign_message}")
    execute("PRAGMA journal_mode = WAL")
    execute("PRAGMA synchronous = FULL")
    return not tables


def open_error(path, error, service):
    """Returns the exception to raise for an SQLite error on opening. service: "a keeper" or "a desk"."""
    if os.path.isdir(path):
        return UnusableStore(f"{path}: it is a folder (unable to open database file)")
    if isinstance(error, sqlite3.OperationalError):
        if "locked" in str(error):
            return LockedStore(f"{path}: another process holds it; {service} may be running on it")
        return UnusableStore(f"{path}: {error}")
    return DamagedStore(f"{path}: {error}")


def create_schema(connection, schema, application_id):
    """Creates the tables and sets the application id."""
    for statement in schema.split(";")[:-1]:
        connection.execute(statement)
    connection.execute(f"PRAGMA application_id = {application_id}")


def read_fact(connection, path, name):
    """Returns a value from the facts table of a store of purges; raises DamagedStore if missing."""
    row = connection.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
    if row is None:
        raise DamagedStore(f"{path}: its {name} is missing")
    return row[0]


@contextmanager
def transaction(connection):
    """Runs the block as one transaction: on disk at its end, rolled back on an exception."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield connection.execute
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise
