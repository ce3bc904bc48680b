"""Lines of a trace, one for each decision: its time, the input, and the effects in order.

A line is a JSON array, [time, input, its fields, effects, client's id]; an effect is [name, its fields,
known load]. The known load of a send is [sends in flight to the target, its window, sends in flight to the
parent or origin that feeds the fill, its window] after the decision, as this router knows them; an unlimited
window is null. Times are tenths of a millisecond of Unix time. The first line of each segment is a Header, an
object.
"""

from typing import Any, NamedTuple

import msgspec

from .. import __version__, interface
from ..errors.stores import UnreadableTrace
from ..terms import SECOND

SENDS = (interface.Ask, interface.Obtain)
MAX_LINE = 1 << 20  # bytes; a whole list of some thousand caches takes some hundred thousand


class KindRow(msgspec.Struct, array_like=True):
    """The fields of interface.ObjectKind that an Account needs."""

    name: str
    latency_budget: int
    budget_stretch: float
    deadline: int
    utility: float
    late_share: float


class Header(msgspec.Struct):
    """Start of a run of a router."""

    router: str
    version: str
    pace: float  # KB of one answer in a tenth of a millisecond, 0 if unknown
    kinds: list[KindRow]
    began: int
    seed: int | str
    terms: list  # interface.Terms, field by field, for a replay
    guarded: bool  # fleet-wide purges influenced decisions, and the trace does not contain them


class Row(NamedTuple):
    """One decision; at: its time."""

    at: int
    event: str
    fields: list
    effects: list  # of [name, fields, known load or None]
    ref: str | None  # the client's id of the lookup, in the row of its arrival


def make_header(name, terms, began, seed, guarded):
    """The Header of a run that began at this time with this seed."""
    kinds = [
        KindRow(
            kind.name, kind.latency_budget, kind.budget_stretch, kind.deadline, kind.utility, kind.late_share
        )
        for kind in terms.kinds
    ]
    return Header(
        name, __version__, terms.topology.answer_rate / SECOND, kinds, began, seed, list(terms), guarded
    )


class Recorder:
    """Collects encoded lines until they are fetched; they contain no bodies and no deduplication keys."""

    def __init__(self, header):
        self.header = msgspec.json.encode(header) + b"\n"
        self.lines, self.size = [], 0
        self.encode = msgspec.json.Encoder(enc_hook=list).encode

    def record(self, now, event, effects, control, ref=None):
        """Adds the line of a decision; ref: the client's id of a new lookup."""
        written = [
            (type(effect).__name__, effect, known_load(control, effect) if type(effect) in SENDS else None)
            for effect in effects
        ]
        line = self.encode((now, type(event).__name__, event, written, ref))
        self.lines.append(line)
        self.size += len(line) + 1

    def fetch(self):
        """Returns all lines since the last call as one block of bytes."""
        block = b"\n".join([*self.lines, b""])
        self.lines, self.size = [], 0
        return block


def known_load(control, effect):
    """What the router knows of the load of a send's target and of what feeds its fill; see the module."""
    target, source_id = control.row_by_id[effect.cache], getattr(effect, "source", None)
    upstream = None
    if source_id is not None:  # a target that is a parent or the origin feeds the fill itself
        upstream = target if target not in control.edges else control.row_by_id[source_id]
    return (
        control.in_flight[target],
        control.windows.size[target],
        None if upstream is None else control.in_flight[upstream],
        None if upstream is None else control.windows.size[upstream],
    )


decode_header = msgspec.json.Decoder(Header).decode
decode_row = msgspec.json.Decoder(tuple[int, str, list, list[tuple[str, list, Any]], str | None]).decode


def read_header(line):
    """Parses the first line of a segment, or raises UnreadableTrace."""
    try:
        return decode_header(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableTrace(f"no header of a trace: {error}") from None


def read_row(line):
    """Parses the line of a decision, or raises UnreadableTrace."""
    if len(line) > MAX_LINE:
        raise UnreadableTrace(f"a line of {len(line)} bytes")
    try:
        return Row(*decode_row(line))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableTrace(str(error)) from None
