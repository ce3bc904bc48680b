"""Counts the messages in a TCP stream of length-prefixed frames or of HTTP."""

from typing import Protocol

LENGTH_SIZE = 4  # bytes of the length before a frame
HTTP_VERSION = b"HTTP/1.1"  # once in each request and in each answer
EVENT_END = (
    b"\n\n"  # end of an event or a comment; headers end in CR LF CR LF, JSON bodies have no bare line ends
)


class MessageMeter(Protocol):
    """Counts messages in one direction of one stream."""

    def feed(self, data: bytes) -> int:
        """Returns the number of messages that end (frames) or begin (headers) in the next bytes."""


class FrameMeter:
    """Counts frames in a stream between members: a length of four bytes, then the frame."""

    def __init__(self) -> None:
        """Starts at the beginning of a frame."""
        self.length = b""
        self.missing = 0

    def feed(self, data: bytes) -> int:
        """Returns the number of frames whose last byte is in data."""
        found, offset = 0, 0
        while offset < len(data):
            if not self.missing:
                taken = data[offset : offset + LENGTH_SIZE - len(self.length)]
                self.length += taken
                offset += len(taken)
                if len(self.length) < LENGTH_SIZE:
                    break
                self.missing, self.length = int.from_bytes(self.length, "big"), b""
                found += not self.missing
                continue
            step = min(self.missing, len(data) - offset)
            offset += step
            self.missing -= step
            found += not self.missing
        return found


class MarkMeter:
    """Counts messages in a stream in which each message contains one marker."""

    def __init__(self, mark: bytes) -> None:
        """mark: the bytes that each message contains once."""
        self.mark, self.tail = mark, b""

    def feed(self, data: bytes) -> int:
        """Returns the number of markers whose last byte is in data."""
        joined = self.tail + data
        self.tail = joined[1 - len(self.mark) :]
        return joined.count(self.mark)


class HttpMeter:
    """Counts requests, responses and events of HTTP/1.1 with JSON bodies or server-sent events."""

    def __init__(self) -> None:
        """Starts at the beginning of a connection."""
        self.headers, self.events = MarkMeter(HTTP_VERSION), MarkMeter(EVENT_END)

    def feed(self, data: bytes) -> int:
        """Returns the number of headers and events whose marker ends in data."""
        return self.headers.feed(data) + self.events.feed(data)
