"""What the stores on SQLite share: WAL with synchronous FULL, one process at a time, whole transactions."""

import os
import sqlite3
from contextlib import contextmanager

from ..errors.stores import DamagedStore, ForeignStore, LockedStore, UnusableStore

BUSY = 0.2  # seconds for another process to let go: one that ends closes its store at once


def empty(file, path, mark, other):
    """Whether nothing is in it yet. mark: the application id; other: said of a file that has another."""
    run = file.execute
    run("PRAGMA locking_mode = EXCLUSIVE")
    found = run("PRAGMA application_id").fetchone()[0]
    tables = run("SELECT count(*) FROM sqlite_master").fetchone()[0]
    if found != mark and tables:
        raise ForeignStore(f"{path}: {other}")
    run("PRAGMA journal_mode = WAL")
    run("PRAGMA synchronous = FULL")
    return not tables


def not_opened(path, wrong, who):
    """What to raise for SQLite's error at opening. who: a keeper, a desk."""
    if os.path.isdir(path):
        return UnusableStore(f"{path}: it is a folder (unable to open database file)")
    if isinstance(wrong, sqlite3.OperationalError):
        if "locked" in str(wrong):
            return LockedStore(f"{path}: another process holds it; {who} may be running on it")
        return UnusableStore(f"{path}: {wrong}")
    return DamagedStore(f"{path}: {wrong}")


def create(file, schema, mark):
    for statement in schema.split(";")[:-1]:
        file.execute(statement)
    file.execute(f"PRAGMA application_id = {mark}")


def fact(file, path, name):
    """The value that a store of purges keeps under that name; DamagedStore where it has none."""
    row = file.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
    if row is None:
        raise DamagedStore(f"{path}: its {name} is missing")
    return row[0]


@contextmanager
def transaction(file):
    """All of it is on disk when it ends, or none of it."""
    file.execute("BEGIN IMMEDIATE")
    try:
        yield file.execute
        file.execute("COMMIT")
    except BaseException:
        if file.in_transaction:
            file.execute("ROLLBACK")
        raise
