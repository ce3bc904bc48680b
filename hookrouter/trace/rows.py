"""One line a decision: its time, the input, the effects in order, and the belief about each send's caches.

A line is a JSON array, [time, input, its fields, effects, client's id]; an effect is [name, its fields,
belief], and the belief of a send is [out at the target, its window, out at what feeds it, its window] as they
stood after the decision; a window without a bound is null. Times are tenths of a millisecond of Unix time.
The first line of each segment is a Header, an object.
"""

from typing import Any, NamedTuple

import msgspec

from .. import __version__, interface
from ..errors.stores import UnreadableTrace
from ..terms import SECOND

SENDS = (interface.Ask, interface.Obtain)
MOST_LINE = 1 << 20  # bytes: a whole list of some thousand caches has some hundred thousand


class KindRow(msgspec.Struct, array_like=True):
    """What of an object kind its account needs; see interface.ObjectKind."""

    name: str
    latency_budget: int
    budget_stretch: float
    deadline: int
    utility: float
    late_share: float


class Header(msgspec.Struct):
    router: str
    version: str
    pace: float  # KB of one answer in a tenth of a millisecond, 0 where not told
    kinds: list[KindRow]
    began: int
    seed: int | str
    terms: list  # interface.Terms, field by field: what a replay starts from
    guarded: bool  # fleet-wide purges had a say that the trace does not hold


class Row(NamedTuple):
    at: int
    event: str
    fields: list
    effects: list  # of [name, fields, belief or None]
    ref: str | None  # the id that the client gave the lookup, on its arrival


def header_of(name, terms, began, seed, guarded):
    kinds = [
        KindRow(k.name, k.latency_budget, k.budget_stretch, k.deadline, k.utility, k.late_share)
        for k in terms.kinds
    ]
    return Header(
        name, __version__, terms.topology.answer_rate / SECOND, kinds, began, seed, list(terms), guarded
    )


class Recorder:
    """Lines until they are fetched; nothing of a body or a key is in them."""

    def __init__(self, header):
        self.header = msgspec.json.encode(header) + b"\n"
        self.lines, self.size = [], 0
        self.encode = msgspec.json.Encoder(enc_hook=list).encode

    def decided(self, now, event, effects, control, ref=None):
        said = [
            (type(effect).__name__, effect, belief(control, effect) if type(effect) in SENDS else None)
            for effect in effects
        ]
        line = self.encode((now, type(event).__name__, event, said, ref))
        self.lines.append(line)
        self.size += len(line) + 1

    def fetch(self):
        """All lines since the last call, as one block of bytes."""
        block = b"\n".join([*self.lines, b""])
        self.lines, self.size = [], 0
        return block


def belief(control, effect):
    n, source = control.row_by_id[effect.cache], getattr(effect, "source", None)
    via = None
    if source is not None:  # what feeds it: a parent or the origin that is the target itself
        via = n if n not in control.edges else control.row_by_id[source]
    return (
        control.in_flight[n],
        control.windows.room[n],
        None if via is None else control.in_flight[via],
        None if via is None else control.windows.room[via],
    )


decode_header = msgspec.json.Decoder(Header).decode
decode_row = msgspec.json.Decoder(tuple[int, str, list, list[tuple[str, list, Any]], str | None]).decode


def read_header(line):
    try:
        return decode_header(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
        raise UnreadableTrace(f"no header of a trace: {wrong}") from None


def read_row(line):
    if len(line) > MOST_LINE:
        raise UnreadableTrace(f"a line of {len(line)} bytes")
    try:
        return Row(*decode_row(line))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
        raise UnreadableTrace(str(wrong)) from None
