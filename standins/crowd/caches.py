"""One cache, parent or origin: copies, time by size and load, fills, coldness, falls, purges, fences.

It knows others as objects, so a fill takes its time at the source as a lookup does. Times are Unix ms, work
is in seconds of one transfer.
"""

import asyncio
import math
import time
from collections import OrderedDict, deque

from . import objects
from .cache_work import CacheRequest, Fill, Job

SLOT = 100  # ms of one row of the table
BASE = {"box": 0.002, "parent": 0.008, "origin": 0.03}  # seconds before the first byte
MISS = 0.001  # seconds to say that it has no copy
ROOM = 6.0  # lookups out for each that it serves at full speed, before it says that it is full
MORE = 4  # lookups out beyond that
DOWN = 1.0  # seconds that a cache which was pushed over is gone
GRACE = 500  # ms in which a draining cache may still be used, as the settings say


def now():
    return time.time() * 1_000


class Cache:
    """spec: name, zone, type, group, weight, room (KB), since_ms; terms: the times that all share.

    others: name -> Cache. tell(what, **values): a note for the table of what happened.
    """

    def __init__(self, spec, terms, others):
        self.name, self.sort, self.weight = spec["name"], spec["type"], spec["weight"]
        self.zone, self.room, self.since = spec["zone"], spec["room"], spec["since_ms"]
        self.terms, self.others, self.loop = terms, others, asyncio.get_running_loop()
        self.copies, self.held, self.fills, self.jobs, self.idle = OrderedDict(), 0.0, {}, set(), 0
        self.state, self.slow, self.leaving, self.after_drain = "up", 1.0, None, []
        self.fences, self.purges, self.late = {}, [], deque()  # late: (when, work, who) of the cold window
        self.rows, self.falls, self.effects = {}, [], []
        self.fall_hook = lambda: None

    # ---- how much it can do

    def able(self, at):
        """Lookups at full speed at one time."""
        share, span = self._cold()
        if not self.since or at >= self.since + span:
            return self.weight
        return self.weight * (share + (1 - share) * max(0.0, at - self.since) / span)

    def busy(self):
        """Lookups out that do not wait for a source."""
        return len(self.jobs) - self.idle

    def cold(self, at):
        return self.sort != "origin" and bool(self.since) and at < self.since + self._cold()[1]

    def _cold(self):
        t = self.terms
        return (
            (t["parent_share"], t["parent_cold_ms"]) if self.sort == "parent" else (t["share"], t["cold_ms"])
        )

    def load(self):
        return f"inflight:{len(self.jobs)};util:{self.busy() / max(0.1, self.able(now())):.2f}"

    def row(self, at):
        slot = int(at) // SLOT
        found = self.rows.get(slot)
        if found is None:
            found = self.rows[slot] = {
                "by": {},
                "hits": 0,
                "fills": {},
                "full": 0,
                "refused": 0,
                "out": 0,
                "cold": 0,
                "purged": 0,
            }
        return found

    # ---- one lookup

    def serve(self, request, done):
        """Job, which the asker may give up."""
        at, job = now(), Job(self, done)
        row = self.row(at)
        row["by"][request.who] = row["by"].get(request.who, 0) + 1
        row["out"] = max(row["out"], len(self.jobs))
        if self.leaving is not None and at > self.leaving + GRACE:
            self.after_drain.append((round(at - self.leaving), request.who, request.filling, self.name))
        if self.state == "down":
            job.after(MISS, 500)
        elif self.state in ("vanished", "hung"):
            pass  # nothing is ever said
        elif self.cold(at) and self._pushed_over(at, request, row):
            job.give_up()
            self.fall_hook()
        elif not self._number_holds(request):
            row["refused"] += 1
            job.after(MISS, 409)
        elif self.busy() > ROOM * self.able(at) + MORE:
            row["full"] += 1
            job.after(MISS, 503)
        else:
            self._answer(at, request, job, row)
        return job

    def _pushed_over(self, at, request, row):
        """Whether it is too much for a cold cache: more than N + 3 root N + 3 of mean work in the time."""
        t, row["cold"] = self.terms, row["cold"] + 1
        multiple = t["parent_multiple"] if self.sort == "parent" else t["multiple"]
        start = max(at - t["fall_ms"], self.since)
        self.late.append((at, objects.size(request.object) / objects.MEAN, request.who))
        while self.late[0][0] <= start:
            self.late.popleft()
        allowed = multiple * self.able(start) * t["fall_ms"] / 1_000 / (objects.MEAN / objects.FLOW)
        got = sum(work for _, work, _ in self.late)
        if got <= allowed + 3 * math.sqrt(allowed) + 3:
            return False
        self.falls.append(
            {
                "at": round(at),
                "cache": self.name,
                "allowed": round(allowed, 1),
                "got": round(got, 1),
                "since_ms": self.since,
                "by": sorted({who for _, _, who in self.late}),
            }
        )
        return True

    def _number_holds(self, request):
        if request.fence is None:
            return True
        name, _, number = request.fence.rpartition(" ")
        if int(number) < self.fences.get(name, 0):
            return False
        self.fences[name] = int(number)
        return True

    def _span(self, request):
        work = objects.size(request.object) / objects.FLOW
        return BASE[self.sort] + work * self.slow * max(1.0, self.busy() / max(0.1, self.able(now())))

    def _answer(self, at, request, job, row):
        effect, written, *_ = objects.KINDS[request.kind]
        if written or self.sort == "origin":
            if effect != "free":
                self.effects.append((request.key or request.trace, effect, round(at), self.name))
            job.after(self._span(request), 200, int(at), "via_origin")
            return
        place = request.kind, request.object, request.part
        made = self.copies.get(place)
        limit = request.limit or objects.KINDS[request.kind][3]
        if made is not None and (limit == 0 or at - made <= limit):
            row["hits"] += 1
            row["purged"] += self._purged(request.object, made)
            self.copies.move_to_end(place)
            job.after(self._span(request), 200, made, "hit")
        elif request.source is None:
            job.after(MISS, 404)
        else:
            self._fill(request, job, place, row)

    # ---- fills

    def _fill(self, request, job, place, row):
        fill = self.fills.get(place)
        if fill is None or "join" not in request.words:
            fill = Fill(self, place)
            fill.join(job)
            source = self.others.get(request.source)
            row["fills"][request.source] = row["fills"].get(request.source, 0) + 1
            if source is None or source.state == "gone":
                job.after(MISS, 500)
                return
            self.fills[place] = fill
            further = None if source.sort == "origin" or "held" in request.words else self.terms["origin"]
            asked = CacheRequest(
                request.kind,
                request.object,
                request.part,
                request.trace,
                {
                    "x-do": "join",
                    "x-patience": int(request.patience * 1_000),
                    "x-stale-limit": request.limit,
                    **({"x-origin-pick": further} if further else {}),
                },
                True,
            )
            fill.job = source.serve(asked, lambda *got: self._filled(fill, request, source, *got))
        else:
            fill.join(job)

    def _filled(self, fill, request, source, status, made, note):
        if self.fills.get(fill.place) is fill:
            del self.fills[fill.place]
        if status == 200 and not ("nocopy" in request.words and self.sort == "parent"):
            self.keep(fill.place, made)
        waiting, fill.waiting = fill.waiting, []
        self.idle -= len(waiting)
        for job in waiting:
            job.behind = None
            if status == 200:
                job.after(BASE[self.sort], 200, made, "filled")
            else:
                job.end(404 if status == 404 else 500)

    # ---- copies

    def keep(self, place, made):
        if self._purged(place[1], made):
            return
        if place not in self.copies:
            self.held += objects.size(place[1])
        self.copies[place] = max(made, self.copies.get(place, 0))
        self.copies.move_to_end(place)
        while self.held > self.room and self.copies:
            (_, gone, _), _ = self.copies.popitem(last=False)
            self.held -= objects.size(gone)

    def _purged(self, object_, made):
        """Whether it is older than a purge of it that was told to this cache."""
        return any(
            made < at and (key == object_ if key else group == objects.group(object_))
            for at, key, group in self.purges
        )

    def purge(self, at, key, group):
        self.purges = [row for row in self.purges if row[0] > at - 120_000] + [(at, key, group)]
        for place in [
            p
            for p, made in self.copies.items()
            if made < at and (p[1] == key if key else objects.group(p[1]) == group)
        ]:
            del self.copies[place]
            self.held -= objects.size(place[1])

    def empty(self):
        """As after its start: no copies, no work."""
        for job in list(self.jobs):
            job.give_up()
        self.copies.clear()
        self.fills.clear()
        self.late.clear()
        self.held = 0.0
