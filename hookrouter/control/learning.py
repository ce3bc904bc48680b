"""What the end of a send tells: of its cache, of its source, of times, and of answers lost on the way."""

from .. import interface
from .health import BAD, GOOD
from .times import BLEND

HIT_STEP = 0.5  # of a fill's step: most answers are hits, and say at best that the location is calm
ASTRAY = 2.0  # nats for answers lost on the way against a crowd: odds of seven to one
ASTRAY_MOST = 4.0  # nats either way: what was long true must be unlearned within a few sends
ASTRAY_FILLS = 0.25  # of fills silent: beyond it what feeds them may be gone, and only other sends tell
SILENCE = 20_000  # 2 s without an answer of any kind: in a crowd hits and refusals still come
SPARE_SHARE = 0.05  # further sends earned by each satisfied one: where nothing succeeds, nothing is repeated
SPARE_MOST = 10.0  # further sends saved up: a cache's crash costs about as many before it is set aside

SILENT, TARDY, PROMPT = "silent", "tardy", "prompt"

# How a send ended, whether outside feeds it -> nats: its odds under loss over a crowd (docs/results/loss.md).
NATS = {
    (SILENT, True): 0.3,  # nearly every miss of a fill, against three in four
    (SILENT, False): 3.0,  # one in twenty, against one in a thousand
    (TARDY, True): -2.5,  # hardly one miss in fifty, against one in four
    (TARDY, False): -2.5,
    (PROMPT, True): 0.0,  # hits of caches, in either
    (PROMPT, False): -0.05,
}


class Learning:
    def __init__(self, control, terms):
        self.c, self.times, self.windows = control, control.times, control.windows
        self.tardy = control.add_column(False)  # the last answer came late
        self.step = (
            terms.topology.zone_routers**-0.5
        )  # of the paper's: the crew's chance steps add up by the root
        self.spare, self.astray = SPARE_MOST, 0.0  # further sends; nats
        self.silent, self.mute_via = 0.0, None  # share of fills; what fed the last of them

    def look(self):
        """Budgets that are over: a crowd is seen then, not when its sends end."""
        for sent in self.c.sends_over_budget():
            if self.c.now - sent.sent_at >= int(self.times.budget(sent)):
                self._miss(sent)

    def ended(self, sent, end):
        c, windows, word, fills = self.c, self.windows, end.outcome, sent.upstream is not None
        if word not in (
            interface.UNREACHED,
            interface.BROKEN,
            interface.LATE,
            interface.CANCELLED,
            interface.VOID,
        ):
            c.health.answers(sent.target)
            if c.cold.lost[sent.target]:
                c.cold.start(sent.target, c.now)
        # Nothing came from there since the send went out; and what the answer tells of the copy.
        mute, dry = (n is not None and c.last_answer_at[n] < sent.sent_at for n in (sent.target, sent.source))
        if word == interface.FULL and fills:
            windows.slide(sent.upstream, True)
            windows.turn(True)
        self._weigh(sent, end, mute, fills)
        stray = word == interface.LATE and self.stray()
        if word == interface.LATE and not mute:
            self._miss(sent)
        if word == interface.SATISFIED:
            return self._satisfied(sent, end, fills)
        if (
            word == interface.LATE and sent.early_timeout and not stray
        ):  # backing off: it takes longer than that
            self.times.took(sent.kind_index, 2 * end.duration - sent.sending_time)
        if word == interface.MISSING:
            c.health.told(sent.target, GOOD)  # it answers, though it lacks the object
        # Both are blamed: what goes well clears the one not at fault. Time-outs beside answers are a crowd's.
        failed = word in (interface.ERRED, interface.UNREACHED, interface.BROKEN) or (
            word == interface.LATE and mute
        )
        if failed or (word == interface.FULL and not fills):
            c.health.told(sent.target, BAD)
        # Silent in a row: it may have died. The list tells seconds late; what answers again counts as cold.
        silent = c.now - c.last_answer_at[sent.target] > SILENCE and c.health.trickle[sent.target] is not None
        if silent and word in (interface.UNREACHED, interface.BROKEN, interface.LATE):
            c.cold.lost[sent.target] = True
        waited = word == interface.LATE and not stray and (dry or not windows.tells_hits)
        if fills and not windows.crowd() and (waited or word in (interface.ERRED, interface.FULL)):
            c.health.told(sent.source, BAD)

    def _satisfied(self, sent, end, fills):
        times, k, late = self.times, sent.kind_index, end.duration > self.times.budget(sent)
        found = end.copy_status in (interface.FOUND, interface.AGED)
        # A hit tells little of the source; where hits are not told, a quick answer passes for one.
        hit = found if self.windows.tells_hits else end.duration - sent.sending_time < times.average[k]
        if fills and not sent.over_budget and not (late and self.c.health.stalls(sent)):
            self.windows.slide(sent.upstream, late, self.step * (HIT_STEP if hit else 1))
            if late or not hit:
                self.windows.turn(late)
        if not fills or found or not self.windows.tells_hits:
            self.windows.slide(sent.target, late)
        self.tardy[sent.target] = late
        self.spare = min(SPARE_MOST, self.spare + SPARE_SHARE)
        times.took(k, max(0.0, end.duration - sent.sending_time))
        if sent.sending_time or (
            sent.target_idle and (not fills or found)
        ):  # else a crowd's wait would pass for sending
            times.worked(k, sent.sending_time or end.duration)
        self.c.health.told(sent.target, GOOD)
        if fills and (
            not self.windows.tells_hits
            or end.copy_status in (interface.FILLED, interface.FROM_ORIGIN, interface.JOINED)
        ):
            self.c.health.told(sent.source, GOOD)
            self.c.health.answers(sent.source)

    def _weigh(self, sent, end, mute, fills):
        """Answers lost, or a crowd, which is late before it is silent? Wald's sequential test (1945)."""
        silent = end.outcome == interface.LATE
        if fills and not mute and end.outcome in (interface.SATISFIED, interface.LATE):
            self.silent += BLEND * (silent - self.silent)
        if silent and (mute or (fills and (sent.upstream == self.mute_via or self.silent > ASTRAY_FILLS))):
            return  # a cache or a source that is gone tells only of itself
        if silent and fills:
            self.mute_via = sent.upstream
        late = end.outcome == interface.SATISFIED and end.duration > self.times.budget(sent)
        sign = SILENT if silent else TARDY if late or (fills and end.outcome == interface.FULL) else PROMPT
        if silent or end.outcome in (interface.SATISFIED, interface.MISSING) or sign == TARDY:
            self.astray = min(ASTRAY_MOST, max(-ASTRAY_MOST, self.astray + NATS[sign, fills]))

    def stray(self):
        return self.astray >= ASTRAY

    def _miss(self, sent):
        """Its budget is over without an answer: counted once, then or at its end."""
        if sent.over_budget or self.c.health.stalls(
            sent
        ):  # a stall tells of its cache, not of source or link
            return
        sent.over_budget, fills = True, sent.upstream is not None
        crowd = self.windows.crowd() and not self.stray()
        if fills and not self.stray():
            self.windows.slide(sent.upstream, True)
            self.windows.turn(True)
        # Sends unanswered at a cache that answers others in time are lost, or wait for their source.
        if (crowd or self.tardy[sent.target]) and (not fills or not self.windows.tells_hits):
            self.windows.slide(sent.target, True)
