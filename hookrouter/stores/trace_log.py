"""The trace on disk: segments of compressed blocks, the oldest removed; a crash costs the end of one at most.

A segment is NAME.NUMBER.trace, zstd frames one behind the other (RFC 8878), each with its checksum; any zstd
reads it. The first line of a segment is the header of whoever wrote it.
"""

import os
import re
from contextlib import suppress

import zstandard

from ..errors.stores import TruncatedTrace

MAX_SEGMENTS = 8  # kept of one router: removing one loses an eighth
READ_SIZE = 1 << 16  # bytes read at once
MAX_LINE = 1 << 21  # bytes: what has no line's end by then is no trace


class TraceLog:
    """most: bytes on disk of this name, those of former lives among them. Calls write to the page cache; none
    waits for the disk. OSError: it could not be written.
    """

    def __init__(self, folder, name, max_bytes, header):
        self.folder, self.name, self.header = folder, name, header
        self.segment_size = max(1, max_bytes // MAX_SEGMENTS)
        self.compressor = zstandard.ZstdCompressor(level=1, write_checksum=True)
        self.file, self.size = None, 0
        self.last_number = max((number for number, _ in list_segments(folder, name)), default=0)

    def write(self, block):
        if self.file is None or self.size >= self.segment_size:
            self._next()
        self.size += self.file.write(self.compressor.compress(block))
        self.file.flush()

    def _next(self):
        self.close()
        self.last_number += 1
        for _, path in list_segments(self.folder, self.name)[: -(MAX_SEGMENTS - 1)]:
            os.unlink(path)
        self.file = open(os.path.join(self.folder, f"{self.name}.{self.last_number:08d}.trace"), "xb")
        self.size = self.file.write(self.compressor.compress(self.header))

    def close(self):
        if self.file is not None:
            file, self.file = self.file, None
            with suppress(OSError):  # what a full disk refused is tried again, and is lost either way
                file.close()


def list_segments(folder, name=None):
    """[(number, path)] of that name in their order; of all names, by name and number, without one."""
    found = []
    for entry in os.listdir(folder):
        parts = re.fullmatch(r"(.+)\.(\d{8})\.trace", entry)
        if parts and name in (None, parts[1]):
            found.append((parts[1], int(parts[2]), os.path.join(folder, entry)))
    return [(number, path) for _, number, path in sorted(found)]


def read_lines(path):
    """Each whole line of a segment; TruncatedTrace where it is torn or damaged, with what is wrong."""
    rest = b""
    with open(path, "rb") as file:
        reader = zstandard.ZstdDecompressor().stream_reader(file, read_across_frames=True)
        try:
            while data := reader.read(READ_SIZE):
                *complete, rest = (rest + data).split(b"\n")
                yield from complete
                if len(rest) > MAX_LINE:
                    raise TruncatedTrace(f"{path}: a line without an end")
        except zstandard.ZstdError as error:
            raise TruncatedTrace(f"{path}: damaged from here on: {error}") from None
    if rest:
        raise TruncatedTrace(f"{path}: its last block was cut off")
