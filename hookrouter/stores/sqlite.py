"""What the stores on SQLite share: WAL with synchronous FULL, one process at a time, whole transactions."""

import os
import sqlite3
from contextlib import contextmanager

from ..errors.stores import DamagedStore, ForeignStore, LockedStore, UnusableStore

LOCK_TIMEOUT = 0.2  # seconds for another process to let go: one that ends closes its store at once


def prepare(connection, path, application_id, foreign_message):
    """Whether nothing is in it yet. mark: the application id; other: said of a file that has another."""
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
    """What to raise for SQLite's error at opening. who: a keeper, a desk."""
    if os.path.isdir(path):
        return UnusableStore(f"{path}: it is a folder (unable to open database file)")
    if isinstance(error, sqlite3.OperationalError):
        if "locked" in str(error):
            return LockedStore(f"{path}: another process holds it; {service} may be running on it")
        return UnusableStore(f"{path}: {error}")
    return DamagedStore(f"{path}: {error}")


def create_schema(connection, schema, application_id):
    for statement in schema.split(";")[:-1]:
        connection.execute(statement)
    connection.execute(f"PRAGMA application_id = {application_id}")


def read_fact(connection, path, name):
    """The value that a store of purges keeps under that name; DamagedStore where it has none."""
    row = connection.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
    if row is None:
        raise DamagedStore(f"{path}: its {name} is missing")
    return row[0]


@contextmanager
def transaction(connection):
    """All of it is on disk when it ends, or none of it."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield connection.execute
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise
