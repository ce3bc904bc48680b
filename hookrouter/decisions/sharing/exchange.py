"""One member's exchange with its zone: it says its loads, compares boards with one neighbour a beat, and has
the rows of the one who lacks them sent. Sums first, rows that differ after (anti-entropy; Demers and others,
1987). No I/O: events and a time in, effects out.

Bytes a member and second do not grow with the fleet: a zone has a stated number of tellers, and where it has
fewer they say more often.
"""

from collections import Counter
from random import Random

from . import words as w
from .board import Board
from .bounds import too_far
from .charges import Charges
from .speakers import speakers_of, tellers_of

MOST_PARTS = 4  # datagrams of blocks for one comparison; what is left comes with the next


class Exchange:
    boards = Board

    def __init__(self, terms, name, life, seed):
        self.terms, self.name, self.life, self.random = terms, name, life, Random(seed)
        self.board, self.charges = self.boards(terms), Charges(terms)
        self.zone, self.names, self.tellers, self.speaker = {}, [], [], name
        self.speakers, self.counts_of = {}, {}  # name -> who speaks for it; teller -> for how many
        self.loads, self.given = {}, {}  # own, in hundredths: as they are, and as they were said last
        self.number, self.say_at, self.beat_at, self.news_at = 0, None, None, 0
        self.heard_at = {}  # teller -> when its number rose here last
        self.past = {}  # teller -> (life, number, when) of what was forgotten: it does not come back as news
        self.summed, self.summed_at, self.summed_age = {}, None, 0
        self.counts = {"refused": 0, "merged": 0, "old": 0}
        self.now, self.out = 0, []

    # ---- the loop

    def take(self, now, event):
        if now < self.now:  # the clock went back, which a steady one does not: nothing here has an age
            self.board, self.charges = self.boards(self.terms), Charges(self.terms)
            self.say_at, self.beat_at, self.news_at, self.heard_at = None, None, 0, {}
        self.now, self.out = now, []
        EVENTS[type(event)](self, event)
        return self.out

    def alarm(self):
        return min(self.say_at or 0, self.beat_at or 0, self.news_at)

    def _own(self, event):
        self.loads = {
            (cache, source): (_hundredths(out), _hundredths(rate))
            for cache, source, out, rate in event.loads[: self.terms.most_caches]
        }

    def _living(self, event):
        self.zone = dict(event.zone)
        self.names = sorted(name for name in self.zone if name != self.name)
        self.tellers = tellers_of([*self.names, self.name], self.terms.tellers)
        self.speakers = speakers_of(self.zone, self.tellers)
        self.speaker = self.speakers.get(self.name, self.name)
        self.counts_of = Counter(self.speakers.values())
        self.charges.keep_only(name for name, speaker in self.speakers.items() if speaker == self.name)
        for kept in (self.past, self.heard_at):
            for name in [name for name in kept if name not in self.zone]:
                del kept[name]

    def _tick(self, event):
        if self.say_at is None:  # not all at once after a start of all
            self.say_at = self.now + self.random.randrange(self.terms.least_every)
            self.beat_at = self.now + self.random.randrange(self.terms.beat)
        if self.now >= self.say_at:
            self.say_at = self.now + self._jittered(self._every())
            self._say()
        if self.now >= self.beat_at:
            self.beat_at = self.now + self._jittered(self.terms.beat)
            gone = self.board.forget(self.now, {**self.zone, self.name: self.life})
            self.past.update((name, (*row, self.now)) for name, row in gone.items())
            self._compare()
        if self.now >= self.news_at:
            self.news_at = self.now + self.terms.news_every
            self.out.append(w.News(self.summaries()))

    def _jittered(self, span):
        return span - span // 10 + self.random.randrange(max(1, span // 5))

    def _every(self):
        """A zone of few tellers has news as fresh as its bytes allow."""
        full = self.terms.tell_every
        if self.speaker != self.name:
            return full
        return max(self.terms.least_every, full * (len(self.tellers) - 2) // (self.terms.tellers - 2))

    def _say(self):
        self.number += 1
        self.charges.forget(self.now, self.zone)
        if self.speaker == self.name:
            self.given = self.loads
            sums, count = self.charges.sums(self.loads), 1 + len(self.charges.rows)
            self.board.merge(self.now, self._block(sums, self.charges.age(self.now), count))
        else:
            self.charges.rows.clear()
            if self.speaker:
                self.given = self.loads
                self.out.append(w.Send(self.speaker, w.Charge(self._block(self.loads, 0, 1))))

    def _block(self, sums, age, count):
        """Of many caches a part each time, in turn: one block is in one datagram."""
        loads = [
            w.Load(*key, min(w.MOST_LOAD, int(out)), min(w.MOST_LOAD, int(rate)))
            for key, (out, rate) in sorted(sums.items())
        ]
        parts, room = [[]], 0
        for load in loads:
            room -= load.size()
            if room < 0 or len(parts[-1]) >= w.MOST_ROWS:
                parts.append([])
                room = w.MOST_TOLD - w.BLOCK_HEAD - load.size()
            parts[-1].append(load)
        parts = parts[1:] or [[]]
        return w.Block(
            self.name, self.life, self.number, age, count, len(parts) == 1, parts[self.number % len(parts)]
        )

    # ---- comparing

    def _sums(self, answer):
        rows = self.board.tellers.values()
        return w.Sums([(teller.mark, teller.number) for teller in rows], answer)

    def _compare(self):
        if self.names:
            self.out.append(w.Send(self.random.choice(self.names), self._sums(False)))

    def _heard(self, heard):
        if self.zone.get(heard.name) != heard.life or heard.name == self.name:
            self.counts["refused"] += 1  # of another zone, or of none whom the view has alive
            return
        MESSAGES[type(heard.message)](self, heard)

    def _compared(self, heard):
        theirs = dict(heard.message.held)
        mine = {teller.mark: (name, teller.number) for name, teller in self.board.tellers.items()}
        marks = {name: key for key, (name, _) in mine.items()}
        newer = [name for key, (name, number) in mine.items() if number > theirs.get(key, -1)]
        newer.sort(key=lambda name: (-self.board.tellers[name].born, name))  # what is fresh goes first
        part, size, parts = [], 0, 0
        for block in (
            block
            for name in newer
            for block in self.board.blocks(self.now, name, theirs.get(marks[name], -1))
        ):
            if part and (size + block.size() > w.MOST_TOLD or len(part) >= w.MOST_BLOCKS):
                self.out.append(w.Send(heard.name, w.Told(part)))
                part, size, parts = [], 0, parts + 1
                if parts >= MOST_PARTS:
                    break
            part.append(block)
            size += block.size()
        if part:
            self.out.append(w.Send(heard.name, w.Told(part)))
        lacks = any(number > mine.get(key, ("", -1))[1] for key, number in theirs.items())
        if lacks and not heard.message.answer:
            self.out.append(w.Send(heard.name, self._sums(True)))

    def _told(self, heard):
        for block in heard.message.blocks:
            if self._believed(block):
                before = self.board.tellers.get(block.teller)
                number = before.number if before is not None else -1
                if self.board.merge(self.now, block):
                    self.counts["merged"] += 1
                    if block.number > number:
                        self.heard_at[block.teller] = self.now
                else:
                    self.counts["old"] += 1
            else:
                self.counts["refused"] += 1

    def _believed(self, block):
        """Of one that the view has alive, under that life, with a number that it can have come to."""
        if block.teller == self.name or self.zone.get(block.teller) != block.life:
            return False
        life, number, when = self.past.get(block.teller, (-1, 0, 0))
        if block.life == life and block.number <= number and self.now - when < w.MOST_AGE:
            return False
        before = self.board.tellers.get(block.teller)
        if before is None or before.life != block.life:
            return True
        span = self.now - self.heard_at.get(block.teller, self.now)
        return not too_far(block.number, before.number, span, self.terms.least_every)

    def _charged(self, heard):
        block = heard.message.block
        own = (block.teller, block.life) == (heard.name, heard.life)
        own &= self.speakers.get(block.teller) == self.name  # else it would count with several tellers
        if not own or not self.charges.put(self.now, block):
            self.counts["refused" if not own else "old"] += 1

    # ---- out

    def summary(self, cache, source=""):
        """Summary of the other routers of the zone, or None."""
        key = cache, source
        (out, rate), mine = self.given.get(key, (0, 0)), ("", 0)
        if self.speaker == self.name:  # those it speaks for, as they are now and not as it said last
            if self.summed_at != self.now:
                self.summed_at = self.now
                self.summed, self.summed_age = self.charges.sums({}), self.charges.age(self.now, 0)
            out, rate = self.summed.get(key, (0.0, 0.0))
            mine = self.name, self.summed_age
        return self.board.summary(
            self.now,
            cache,
            len(self.names),
            self.counts_of,
            source,
            (out / w.HUNDRED, rate / w.HUNDRED),
            self.speaker,
            mine,
        )

    def summaries(self):
        """Of each cache of which there is news."""
        found = (self.summary(cache) for cache in self.board.caches())
        return tuple(summary for summary in found if summary is not None)


def _hundredths(value):
    return max(0, min(w.MOST_LOAD, round(value * w.HUNDRED)))


EVENTS = {w.Tick: Exchange._tick, w.Heard: Exchange._heard, w.Own: Exchange._own, w.Living: Exchange._living}
MESSAGES = {w.Sums: Exchange._compared, w.Told: Exchange._told, w.Charge: Exchange._charged}
