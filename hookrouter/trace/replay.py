"""Repeats a router's decisions from its trace, to compare them with those of this build."""

from .. import interface
from ..control import Control

EVENTS = {
    kind.__name__: kind
    for kind in (
        interface.CacheList,
        interface.Lookup,
        interface.Begun,
        interface.SendEnd,
        interface.ClientGone,
        interface.Alarm,
        interface.ProbeEnd,
        interface.Whisper,
        interface.Purged,
        interface.FeedHeard,
        interface.EventsMissed,
        interface.CopyVerified,
        interface.CopyRevoked,
    )
}


class Replay:
    """Replays one run of a router. differences: the first max_differences (row, effects of this build)."""

    def __init__(self, header, control_class=Control, max_differences=20):
        self.control = control_class(header.seed, terms_from(header.terms))
        self.max_differences, self.rows, self.differences, self.different = max_differences, 0, [], 0

    def play(self, row):
        """Returns the effects of this build for the row's event, and compares them with the recorded ones."""
        effects = self.control.decide(row.at, [event_from(row)])
        self.rows += 1
        if [[type(effect).__name__, as_json(effect)] for effect in effects] != [
            list(recorded[:2]) for recorded in row.effects
        ]:
            self.different += 1
            if len(self.differences) < self.max_differences:
                self.differences.append((row, effects))
        return effects


def as_json(value):
    """The value as JSON would return it: tuples become lists."""
    return [as_json(item) for item in value] if isinstance(value, (list, tuple)) else value


def as_tuples(value):
    """The value with all lists replaced by tuples."""
    return tuple(map(as_tuples, value)) if isinstance(value, list) else value


def event_from(row):
    """The input of this row. KeyError or TypeError: it was written by another version."""
    kind, fields = EVENTS[row.event], map(as_tuples, row.fields)
    if kind is interface.CacheList:
        mode, caches = fields
        return interface.CacheList(mode, tuple(interface.Cache(*cache) for cache in caches))
    return kind(*fields)


def terms_from(values):
    """interface.Terms from the fields in a Header."""
    terms = interface.Terms(*map(as_tuples, values))
    return terms._replace(
        topology=interface.Topology(*terms.topology),
        kinds=tuple(interface.ObjectKind(*kind) for kind in terms.kinds),
    )
