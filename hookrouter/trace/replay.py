"""A router's decisions made again from its trace: by this build, or by another on the same events."""

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
    )
}


class Replay:
    """One life of one router. differences: (row, effects as they are now), so many of the first."""

    def __init__(self, header, make=Control, keep=20):
        self.control = make(header.seed, terms_of(header.terms))
        self.keep, self.rows, self.differences, self.different = keep, 0, [], 0

    def take(self, row):
        """Effects of this build for the event of that row."""
        effects = self.control.decide(row.at, [event_of(row)])
        self.rows += 1
        if [[type(e).__name__, plain(e)] for e in effects] != [list(effect[:2]) for effect in row.effects]:
            self.different += 1
            if len(self.differences) < self.keep:
                self.differences.append((row, effects))
        return effects


def plain(value):
    """As it comes back from JSON."""
    return [plain(v) for v in value] if isinstance(value, (list, tuple)) else value


def frozen(value):
    return tuple(map(frozen, value)) if isinstance(value, list) else value


def event_of(row):
    """The event as the router was told it. KeyError, TypeError: of another version."""
    kind, fields = EVENTS[row.event], map(frozen, row.fields)
    if kind is interface.CacheList:
        mode, caches = fields
        return interface.CacheList(mode, tuple(interface.Cache(*cache) for cache in caches))
    return kind(*fields)


def terms_of(values):
    terms = interface.Terms(*map(frozen, values))
    return terms._replace(
        topology=interface.Topology(*terms.topology),
        kinds=tuple(interface.ObjectKind(*kind) for kind in terms.kinds),
    )
