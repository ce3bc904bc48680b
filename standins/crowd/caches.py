"""A simulated cache, parent or origin: copies, service times, fills, cold starts, overload, purges, fencing.

Caches refer to each other as objects, so a fill is served by its source as any lookup is. Times are in Unix
ms, work is in seconds of one transfer at full speed.
"""

import asyncio
import math
import time
from collections import OrderedDict, deque

from . import objects
from .cache_work import CacheRequest, Fill, Job

SLOT_MS = 100  # length of one row of the table
FIRST_BYTE_SECONDS = {"box": 0.002, "parent": 0.008, "origin": 0.03}  # by type, without load
MISS_SECONDS = 0.001  # time to answer that there is no copy
QUEUE_FACTOR = 6.0  # open lookups for each one served at full speed, before it declines more
QUEUE_EXTRA = 4  # further open lookups
OVERLOAD_DOWN_SECONDS = 1.0  # seconds for which an overloaded cold cache is down
DRAIN_GRACE_MS = 500  # time in which a draining cache may still be used, as in the settings


def unix_ms():
    """Returns the current Unix time in ms."""
    return time.time() * 1_000


class Cache:
    """Serves lookups by the rules of a cache and counts them in a table.

    spec: name, zone, type, group, weight, room (KB), since_ms. terms: times and shares common to all caches.
    caches: name -> Cache, the possible sources. on_overload is called when a cold cache is overloaded.
    """

    def __init__(self, spec, terms, caches):
        self.name, self.type, self.weight = spec["name"], spec["type"], spec["weight"]
        self.zone, self.capacity_kb, self.started_ms = spec["zone"], spec["room"], spec["since_ms"]
        self.terms, self.caches, self.loop = terms, caches, asyncio.get_running_loop()
        self.copies, self.used_kb, self.fills, self.jobs, self.waiting_jobs = OrderedDict(), 0.0, {}, set(), 0
        self.state, self.slowdown, self.drain_ms, self.after_drain = "up", 1.0, None, []
        # recent_work: (time, work, router number) of the cold window
        self.fences, self.purges, self.recent_work = {}, [], deque()
        self.rows, self.overloads, self.effects = {}, [], []
        self.on_overload = lambda: None

    # ---- capacity

    def capacity(self, now_ms):
        """Concurrent lookups at full speed; a cold cache has a share that grows to its weight."""
        share, cold_ms = self._cold_terms()
        if not self.started_ms or now_ms >= self.started_ms + cold_ms:
            return self.weight
        return self.weight * (share + (1 - share) * max(0.0, now_ms - self.started_ms) / cold_ms)

    def active_jobs(self):
        """Open lookups that do not wait for a source."""
        return len(self.jobs) - self.waiting_jobs

    def is_cold(self, now_ms):
        """Whether the cache restarted less than its cold period ago; an origin is never cold."""
        return (
            self.type != "origin"
            and bool(self.started_ms)
            and now_ms < self.started_ms + self._cold_terms()[1]
        )

    def _cold_terms(self):
        terms = self.terms
        return (
            (terms["parent_share"], terms["parent_cold_ms"])
            if self.type == "parent"
            else (terms["share"], terms["cold_ms"])
        )

    def load(self):
        """Returns the value of the header X-Stats."""
        return f"inflight:{len(self.jobs)};util:{self.active_jobs() / max(0.1, self.capacity(unix_ms())):.2f}"

    def table_row(self, now_ms):
        """Returns the counters of the current slot."""
        slot = int(now_ms) // SLOT_MS
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

    def serve(self, request, on_done):
        """Starts a lookup; returns its Job, which the caller may cancel; on_done: see Job."""
        now_ms, job = unix_ms(), Job(self, on_done)
        row = self.table_row(now_ms)
        row["by"][request.router_number] = row["by"].get(request.router_number, 0) + 1
        row["out"] = max(row["out"], len(self.jobs))
        if self.drain_ms is not None and now_ms > self.drain_ms + DRAIN_GRACE_MS:
            self.after_drain.append(
                (round(now_ms - self.drain_ms), request.router_number, request.filling, self.name)
            )
        if self.state == "down":
            job.end_after(MISS_SECONDS, 500)
        elif self.state in ("vanished", "hung"):
            pass  # never answered
        elif self.is_cold(now_ms) and self._is_overloaded(now_ms, request, row):
            job.cancel()
            self.on_overload()
        elif not self._fence_is_current(request):
            row["refused"] += 1
            job.end_after(MISS_SECONDS, 409)
        elif self.active_jobs() > QUEUE_FACTOR * self.capacity(now_ms) + QUEUE_EXTRA:
            row["full"] += 1
            job.end_after(MISS_SECONDS, 503)
        else:
            self._answer(now_ms, request, job, row)
        return job

    def _is_overloaded(self, now_ms, request, row):
        """Whether the recent work is too much for a cold cache.

        The limit is N + 3 sqrt(N) + 3 mean lookups in fall_ms, N being what the settings allow.
        """
        terms, row["cold"] = self.terms, row["cold"] + 1
        multiple = terms["parent_multiple"] if self.type == "parent" else terms["multiple"]
        start = max(now_ms - terms["fall_ms"], self.started_ms)
        self.recent_work.append(
            (now_ms, objects.size(request.object) / objects.MEAN_KB, request.router_number)
        )
        while self.recent_work[0][0] <= start:
            self.recent_work.popleft()
        allowed = (
            multiple
            * self.capacity(start)
            * terms["fall_ms"]
            / 1_000
            / (objects.MEAN_KB / objects.FLOW_KB_PER_S)
        )
        demand = sum(work for _, work, _ in self.recent_work)
        if demand <= allowed + 3 * math.sqrt(allowed) + 3:
            return False
        self.overloads.append(
            {
                "at": round(now_ms),
                "cache": self.name,
                "allowed": round(allowed, 1),
                "got": round(demand, 1),
                "since_ms": self.started_ms,
                "by": sorted({router_number for _, _, router_number in self.recent_work}),
            }
        )
        return True

    def _fence_is_current(self, request):
        if request.fence is None:
            return True
        name, _, number = request.fence.rpartition(" ")
        if int(number) < self.fences.get(name, 0):
            return False
        self.fences[name] = int(number)
        return True

    def _service_seconds(self, request):
        work = objects.size(request.object) / objects.FLOW_KB_PER_S
        return FIRST_BYTE_SECONDS[self.type] + work * self.slowdown * max(
            1.0, self.active_jobs() / max(0.1, self.capacity(unix_ms()))
        )

    def _answer(self, now_ms, request, job, row):
        effect, is_write, *_ = objects.KINDS[request.kind]
        if is_write or self.type == "origin":
            if effect != "free":
                self.effects.append((request.key or request.trace, effect, round(now_ms), self.name))
            job.end_after(self._service_seconds(request), 200, int(now_ms), "via_origin")
            return
        copy_key = request.kind, request.object, request.part
        created_ms = self.copies.get(copy_key)
        limit = request.stale_limit or objects.KINDS[request.kind][3]
        if created_ms is not None and (limit == 0 or now_ms - created_ms <= limit):
            row["hits"] += 1
            row["purged"] += self._is_purged(request.object, created_ms)
            self.copies.move_to_end(copy_key)
            job.end_after(self._service_seconds(request), 200, created_ms, "hit")
        elif request.source is None:
            job.end_after(MISS_SECONDS, 404)
        else:
            self._fill(request, job, copy_key, row)

    # ---- fills

    def _fill(self, request, job, copy_key, row):
        fill = self.fills.get(copy_key)
        if fill is None or "join" not in request.directives:
            fill = Fill(self, copy_key)
            fill.join(job)
            source = self.caches.get(request.source)
            row["fills"][request.source] = row["fills"].get(request.source, 0) + 1
            if source is None or source.state == "gone":
                job.end_after(MISS_SECONDS, 500)
                return
            self.fills[copy_key] = fill
            next_source = (
                None if source.type == "origin" or "held" in request.directives else self.terms["origin"]
            )
            fill_request = CacheRequest(
                request.kind,
                request.object,
                request.part,
                request.trace,
                {
                    "x-do": "join",
                    "x-patience": int(request.patience * 1_000),
                    "x-stale-limit": request.stale_limit,
                    **({"x-origin-pick": next_source} if next_source else {}),
                },
                True,
            )
            fill.job = source.serve(
                fill_request, lambda *result: self._filled(fill, request, source, *result)
            )
        else:
            fill.join(job)

    def _filled(self, fill, request, source, status, created_ms, note):
        if self.fills.get(fill.copy_key) is fill:
            del self.fills[fill.copy_key]
        if status == 200 and not ("nocopy" in request.directives and self.type == "parent"):
            self.store(fill.copy_key, created_ms)
        waiting, fill.waiting = fill.waiting, []
        self.waiting_jobs -= len(waiting)
        for job in waiting:
            job.fill = None
            if status == 200:
                job.end_after(FIRST_BYTE_SECONDS[self.type], 200, created_ms, "filled")
            else:
                job.end(404 if status == 404 else 500)

    # ---- copies

    def store(self, copy_key, created_ms):
        """Stores a copy unless it is purged; evicts the least recently used beyond the capacity."""
        if self._is_purged(copy_key[1], created_ms):
            return
        if copy_key not in self.copies:
            self.used_kb += objects.size(copy_key[1])
        self.copies[copy_key] = max(created_ms, self.copies.get(copy_key, 0))
        self.copies.move_to_end(copy_key)
        while self.used_kb > self.capacity_kb and self.copies:
            (_, evicted, _), _ = self.copies.popitem(last=False)
            self.used_kb -= objects.size(evicted)

    def _is_purged(self, object_, created_ms):
        """Whether a copy is older than a purge of it that this cache has received."""
        return any(
            created_ms < purge_ms and (key == object_ if key else group == objects.group(object_))
            for purge_ms, key, group in self.purges
        )

    def purge(self, purge_ms, key, group):
        """Drops the copies of an object (key) or a group that are older than the purge."""
        self.purges = [row for row in self.purges if row[0] > purge_ms - 120_000] + [(purge_ms, key, group)]
        for copy_key in [
            stored
            for stored, created_ms in self.copies.items()
            if created_ms < purge_ms and (stored[1] == key if key else objects.group(stored[1]) == group)
        ]:
            del self.copies[copy_key]
            self.used_kb -= objects.size(copy_key[1])

    def clear_all(self):
        """Cancels all work and drops all copies, as a restart does."""
        for job in list(self.jobs):
            job.cancel()
        self.copies.clear()
        self.fills.clear()
        self.recent_work.clear()
        self.used_kb = 0.0
