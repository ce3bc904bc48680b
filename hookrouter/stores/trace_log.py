"""The trace on disk: segments of compressed blocks, the oldest deleted; a crash loses the end of one at most.

A segment is NAME.NUMBER.trace, a series of zstd frames with checksums (RFC 8878) that any zstd can read. The
first line of a segment is the header of its writer.
"""

import os
import re
from contextlib import suppress

import zstandard

from ..errors.stores import TruncatedTrace

MAX_SEGMENTS = 8  # kept per router: deleting one loses an eighth
READ_SIZE = 1 << 16  # bytes read at a time
MAX_LINE = 1 << 21  # bytes; a longer line means that the file is not a trace


class TraceLog:
    """Writes the trace of one router.

    Calls write to the page cache and do not wait for the disk. They raise OSError if the write fails.
    """

    def __init__(self, folder, name, max_bytes, header):
        """max_bytes: on disk under this name, including segments of earlier processes."""
        self.folder, self.name, self.header = folder, name, header
        self.segment_size = max(1, max_bytes // MAX_SEGMENTS)
        self.compressor = zstandard.ZstdCompressor(level=1, write_checksum=True)
        self.file, self.size = None, 0
        self.last_number = max((number for number, _ in list_segments(folder, name)), default=0)

    def write(self, block):
        """Appends a block of lines as one frame; begins a new segment when the current one is full."""
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
        """Closes the current segment; the next write begins another one."""
        if self.file is not None:
            file, self.file = self.file, None
            with suppress(OSError):  # close retries the write that a full disk refused; it is lost either way
                file.close()


def list_segments(folder, name=None):
    """Returns [(number, path)] of that name in order; without a name, of all names by name and number."""
    found = []
    for entry in os.listdir(folder):
        parts = re.fullmatch(r"(.+)\.(\d{8})\.trace", entry)
        if parts and name in (None, parts[1]):
            found.append((parts[1], int(parts[2]), os.path.join(folder, entry)))
    return [(number, path) for _, number, path in sorted(found)]


def read_lines(path):
    """Yields the complete lines of a segment; raises TruncatedTrace where it is truncated or corrupted."""
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
