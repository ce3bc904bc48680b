"""What tests of purges on the network share: the operator's file, purges and how they are told."""

import os
import shutil
import sqlite3
import tempfile
from contextlib import closing

from hookrouter.purges import Purge, types, wire
from hookrouter.site import read_text

SITE = "[purges]\ndesk = 127.0.0.1:{port}\nsecret = secret\nlease = 2 s\nskew = {skew}\n"
SECOND = 10_000
NAME = "7f3a9c21e0b4d655"


def site(folder, port=9100, skew="1 ms", more=""):
    path = folder / "secret"
    path.write_text("0123456789abcdef")
    os.chmod(path, 0o600)
    text = SITE.format(port=port, skew=skew) + more
    (folder / "site.ini").write_text(text)
    return read_text(str(folder / "site.ini"), text)


def event(t, epoch, **more):
    return b"data: " + wire.write(wire.Event(t, epoch, **more)) + b"\n\n"


def purges(*numbers, epoch=5, kind=types.OBJECT, what=NAME, timestamp=1):
    return [Purge(epoch, n, timestamp, kind, what) for n in numbers]


def sealed_upto(path):
    """The number up to which a store of purges is sealed, as its file says while a process runs on it."""
    with tempfile.TemporaryDirectory() as folder:
        for ending in ("", "-wal"):
            shutil.copy(f"{path}{ending}", f"{folder}/look{ending}")
        with closing(sqlite3.connect(f"{folder}/look")) as file:
            try:
                return file.execute("SELECT value FROM facts WHERE name = 'sealed'").fetchone()[0]
            except sqlite3.Error:  # copied in the middle of a write
                return 0
