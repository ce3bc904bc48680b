"""A router's decisions made again from its trace: by this build, or by another on the same events."""

from .. import interface as i
from ..control import Control

EVENTS = {
    kind.__name__: kind
    for kind in (
        i.CacheList,
        i.Lookup,
        i.Begun,
        i.SendEnd,
        i.ClientGone,
        i.Alarm,
        i.ProbeEnd,
        i.Whisper,
        i.Purged,
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
    if kind is i.CacheList:
        mode, caches = fields
        return i.CacheList(mode, tuple(i.Cache(*cache) for cache in caches))
    return kind(*fields)


def terms_of(values):
    terms = i.Terms(*map(frozen, values))
    return terms._replace(
        topology=i.Topology(*terms.topology), kinds=tuple(i.ObjectKind(*kind) for kind in terms.kinds)
    )
