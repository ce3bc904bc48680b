"""A keeper: its parts, the loop that takes events, and the tables of states and messages."""

from collections import deque
from random import Random

from .. import words as w
from ..duties import Duties
from .agreed import Agreed
from .disk import Disk
from .elections import Elections
from .following import Following
from .leading import Leading
from .log import Log
from .members import Members
from .peer import LONG_AGO
from .recall import Recollection
from .states import (
    ALONE,
    ASKING,
    BROKE,
    BROKEN,
    FOLLOWING,
    HASTENED,
    LEADING,
    LIKELY,
    MENDED,
    OUTRANKED,
    STANDING,
    WAITED,
    WON,
)
from .weights import weight

ASK_ALL = 20_000  # 2 s after its start a keeper waits for all others to say what they know of it, then most


class Keeper(Log, Disk, Recollection, Elections, Leading, Following, Agreed, Members):
    def __init__(self, terms, stored, now, seed):
        self.terms, self.name, self.random = terms, terms.name, Random(seed)
        self.now, self.out, self.token = now, [], 0
        self.life = terms.life
        self._load(stored)

    def _load(self, stored):
        """What the disk holds is all that is believed."""
        self.state, self.leader = FOLLOWING, None
        self.term, self.voted, self.written, self.abstain = (
            stored.term,
            stored.voted,
            stored.written,
            stored.abstain,
        )
        self.marks, self.doubt = dict(stored.marks), stored.doubt
        self.snapshot = stored.snapshot or (0, 0, self.terms.keepers, (), None)
        self.base, self.base_term, self.entries = stored.base, stored.base_term, list(stored.entries)
        self.commit = self.applied = self.snapshot[0]
        self.duties = Duties(self.snapshot[4])
        self.durable = self.last()
        # Entries that this keeper's copies have not taken in yet; the bytes of records in the log.
        self.unfiled, self.weight = deque(), sum(map(weight, self.entries))
        self._find_keepers()
        self.inflight, self.inflight_held, self.inflight_since, self.batch_last = None, [], 0, 0
        self.dirty, self.held = self.doubt is not None, []  # a doubt must outlive what it was about
        self.unsaved, self.unsaved_snapshot = self.last() + 1, False
        self.acked_at, self.heard_at = self.now, -LONG_AGO  # it may have answered just before it ended
        self.known, self.granted, self.sure_at = {self.name}, {}, self.now + ASK_ALL
        self.peers, self.round, self.leases, self.asks = {}, 0, None, {}
        self.own, self.told = 0, []  # its own disk, as far as it counts; (round that tells of it, durable)
        self.beat_at = self.now
        self._wait()

    def take(self, now, event):
        self.now, self.out = now, []
        getattr(self, EVENTS[type(event)].__name__)(event)
        self._flush()
        return self.out

    def alarm(self):
        """When Tick is next of use."""
        return self.beat_at if self.state == LEADING else self.wait_at

    def _step(self, word):
        row = TABLE.get((self.state, word))
        if row is not None:
            self.state, effect = row
            getattr(self, effect.__name__)()

    def _told(self, what, **values):
        self.out.append(w.Told(what, tuple(values.items())))

    def _send(self, to, message):
        self.out.append(w.Send(to, message))

    def _heard(self, heard):
        handler = MESSAGES.get(type(heard.message))
        if handler is None or (self.state == BROKEN and handler in NEED_DISK):
            return
        getattr(self, handler.__name__)(heard.sender, heard.message)

    def _nothing(self):
        pass


# state, input -> next state, effect
TABLE = {
    (FOLLOWING, WAITED): (ASKING, Keeper._ask_pre),
    (ASKING, WAITED): (ASKING, Keeper._ask_pre),
    (STANDING, WAITED): (ASKING, Keeper._ask_pre),
    (ASKING, LIKELY): (STANDING, Keeper._stand),
    (STANDING, WON): (LEADING, Keeper._lead),
    (FOLLOWING, HASTENED): (STANDING, Keeper._stand_hastened),
    (FOLLOWING, OUTRANKED): (FOLLOWING, Keeper._nothing),
    (ASKING, OUTRANKED): (FOLLOWING, Keeper._wait),
    (STANDING, OUTRANKED): (FOLLOWING, Keeper._wait),
    (LEADING, OUTRANKED): (FOLLOWING, Keeper._step_back),
    (LEADING, ALONE): (FOLLOWING, Keeper._no_majority),
    (FOLLOWING, BROKE): (BROKEN, Keeper._break),
    (ASKING, BROKE): (BROKEN, Keeper._break),
    (STANDING, BROKE): (BROKEN, Keeper._break),
    (LEADING, BROKE): (BROKEN, Keeper._break),
    (BROKEN, MENDED): (FOLLOWING, Keeper._mend),
}

MESSAGES = {
    w.Ballot: Keeper._ballot,
    w.Vote: Keeper._vote,
    w.Append: Keeper._on_append,
    w.Appended: Keeper._appended,
    w.Install: Keeper._on_install,
    w.Hello: Keeper._hello,
    w.Known: Keeper._known,
    w.Hasten: Keeper._hasten,
    w.Renew: Keeper._renew,
    w.Ask: Keeper._ask,
    w.Look: Keeper._look,
}
NEED_DISK = {
    Keeper._ballot,
    Keeper._vote,
    Keeper._on_append,
    Keeper._on_install,
    Keeper._appended,
    Keeper._hasten,
}

EVENTS = {
    w.Heard: Keeper._heard,
    w.Wrote: Keeper._wrote,
    w.Tick: Keeper._tick,
    w.Reopened: Keeper._reopened,
    w.Begin: Keeper._begin,
    w.Filed: Keeper._filed,
    w.Recall: Keeper._recall,
}
