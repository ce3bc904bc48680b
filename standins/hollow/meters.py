"""How many messages a stretch of a TCP stream ends: of frames with a length before them, or of HTTP."""

from typing import Protocol

LENGTH = 4  # bytes of a frame's length
HEAD = b"HTTP/1.1"  # once in each request and in each answer
EVENT_END = b"\n\n"  # of an event or a comment; heads end in CR LF CR LF, JSON bodies hold no bare line ends


class MessageMeter(Protocol):
    """Counts messages in one direction of one stream."""

    def feed(self, data: bytes) -> int:
        """Messages that this next stretch ends (frames) or begins (heads)."""


class FrameMeter:
    """Of streams between members: a length of four bytes, then the frame."""

    def __init__(self) -> None:
        """At a frame's beginning."""
        self.length = b""
        self.missing = 0

    def feed(self, data: bytes) -> int:
        """Frames whose last byte is in data."""
        found, at = 0, 0
        while at < len(data):
            if not self.missing:
                taken = data[at : at + LENGTH - len(self.length)]
                self.length += taken
                at += len(taken)
                if len(self.length) < LENGTH:
                    break
                self.missing, self.length = int.from_bytes(self.length, "big"), b""
                found += not self.missing
                continue
            step = min(self.missing, len(data) - at)
            at += step
            self.missing -= step
            found += not self.missing
        return found


class MarkMeter:
    """Of a stream in which each message has one mark."""

    def __init__(self, mark: bytes) -> None:
        """mark: what each message has once."""
        self.mark, self.tail = mark, b""

    def feed(self, data: bytes) -> int:
        """Marks whose last byte is in data."""
        joined = self.tail + data
        self.tail = joined[1 - len(self.mark) :]
        return joined.count(self.mark)


class HttpMeter:
    """Of HTTP/1.1 with JSON bodies or events: requests, answers and events."""

    def __init__(self) -> None:
        """At the beginning of a connection."""
        self.heads, self.events = MarkMeter(HEAD), MarkMeter(EVENT_END)

    def feed(self, data: bytes) -> int:
        """Heads and events whose mark ends in data."""
        return self.heads.feed(data) + self.events.feed(data)
