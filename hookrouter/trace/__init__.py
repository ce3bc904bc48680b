"""The trace of a router's decisions: inputs, effects and known load; recorded, read, replayed, counted."""

from .account import Account
from .replay import Replay
from .rows import Header, Recorder, Row, UnreadableTrace, read_header, read_row

__all__ = ["Account", "Header", "Recorder", "Replay", "Row", "UnreadableTrace", "read_header", "read_row"]
