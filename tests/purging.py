"""What tests of purges on the network share: the operator's file, purges and how they are told."""

import os

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
