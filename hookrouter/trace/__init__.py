"""The trace of decisions: what a router was told, said and believed; read back and counted."""

from .account import Account
from .replay import Replay
from .rows import Header, Recorder, Row, UnreadableTrace, read_header, read_row

__all__ = ["Account", "Header", "Recorder", "Replay", "Row", "UnreadableTrace", "read_header", "read_row"]
