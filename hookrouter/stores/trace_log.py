"""The trace on disk: segments of compressed blocks, the oldest removed; a crash costs the end of one at most.

A segment is NAME.NUMBER.trace, zstd frames one behind the other (RFC 8878), each with its checksum; any zstd
reads it. The first line of a segment is the header of whoever wrote it.
"""

import os
import re
from contextlib import suppress

import zstandard

from ..errors.stores import TruncatedTrace

SEGMENTS = 8  # kept of one router: removing one loses an eighth
PIECE = 1 << 16  # bytes read at once
MOST_LINE = 1 << 21  # bytes: what has no line's end by then is no trace


class TraceLog:
    """most: bytes on disk of this name, those of former lives among them. Calls write to the page cache; none
    waits for the disk. OSError: it could not be written.
    """

    def __init__(self, folder, name, most, header):
        self.folder, self.name, self.header = folder, name, header
        self.segment = max(1, most // SEGMENTS)
        self.compressor = zstandard.ZstdCompressor(level=1, write_checksum=True)
        self.file, self.size = None, 0
        self.number = max((number for number, _ in segments(folder, name)), default=0)

    def write(self, block):
        if self.file is None or self.size >= self.segment:
            self._next()
        self.size += self.file.write(self.compressor.compress(block))
        self.file.flush()

    def _next(self):
        self.close()
        self.number += 1
        for _, path in segments(self.folder, self.name)[: -(SEGMENTS - 1)]:
            os.unlink(path)
        self.file = open(os.path.join(self.folder, f"{self.name}.{self.number:08d}.trace"), "xb")
        self.size = self.file.write(self.compressor.compress(self.header))

    def close(self):
        if self.file is not None:
            file, self.file = self.file, None
            with suppress(OSError):  # what a full disk refused is tried again, and is lost either way
                file.close()


def segments(folder, name=None):
    """[(number, path)] of that name in their order; of all names, by name and number, without one."""
    found = []
    for entry in os.listdir(folder):
        parts = re.fullmatch(r"(.+)\.(\d{8})\.trace", entry)
        if parts and name in (None, parts[1]):
            found.append((parts[1], int(parts[2]), os.path.join(folder, entry)))
    return [(number, path) for _, number, path in sorted(found)]


def lines(path):
    """Each whole line of a segment; TruncatedTrace where it is torn or damaged, with what is wrong."""
    rest = b""
    with open(path, "rb") as file:
        reader = zstandard.ZstdDecompressor().stream_reader(file, read_across_frames=True)
        try:
            while piece := reader.read(PIECE):
                *whole, rest = (rest + piece).split(b"\n")
                yield from whole
                if len(rest) > MOST_LINE:
                    raise TruncatedTrace(f"{path}: a line without an end")
        except zstandard.ZstdError as wrong:
            raise TruncatedTrace(f"{path}: damaged from here on: {wrong}") from None
    if rest:
        raise TruncatedTrace(f"{path}: its last block was cut off")
