"""A lookup inside a cache: the request, its job, and the fill that it waits for."""


class CacheRequest:
    """A lookup as received; router_number: from the first hex digits of its trace id."""

    __slots__ = (
        "kind",
        "object",
        "part",
        "trace",
        "router_number",
        "patience",
        "source",
        "stale_limit",
        "directives",
        "fence",
        "key",
        "filling",
    )

    def __init__(self, kind, object_, part, trace, fields, filling=False):
        self.kind, self.object, self.part, self.trace, self.filling = kind, object_, part, trace, filling
        self.router_number = int(trace[:4], 16) if trace[:4] else -1
        self.patience = int(fields.get("x-patience", 10_000)) / 1_000
        self.source, self.stale_limit = fields.get("x-origin-pick"), int(fields.get("x-stale-limit", 0))
        self.directives, self.fence = fields.get("x-do", "").split("+"), fields.get("x-fence")
        self.key = fields.get("x-op-key")


class Job:
    """A lookup in progress; calls on_done(status, created_ms, note) once, unless it is cancelled before."""

    __slots__ = ("cache", "on_done", "timer", "fill", "ended")

    def __init__(self, cache, on_done):
        self.cache, self.on_done, self.timer, self.fill, self.ended = cache, on_done, None, None, False
        cache.jobs.add(self)

    def end_after(self, seconds, status, created_ms=0, note=""):
        """Ends the job after a delay."""
        loop = self.cache.loop
        self.timer = loop.call_later(seconds, self.end, status, created_ms, note)

    def end(self, status, created_ms=0, note=""):
        """Reports the outcome, unless the job has ended before."""
        if not self.ended:
            self.cancel()
            self.on_done(status, created_ms, note)

    def cancel(self):
        """Ends the job without an outcome."""
        if not self.ended:
            self.ended = True
            self.cache.jobs.discard(self)
            if self.timer is not None:
                self.timer.cancel()
            if self.fill is not None:
                self.fill.leave(self)


class Fill:
    """A fetch from a source and the jobs that wait for it."""

    def __init__(self, cache, copy_key):
        self.cache, self.copy_key, self.waiting, self.job = cache, copy_key, [], None

    def join(self, job):
        """Makes a job wait for this fill; a waiting job uses no capacity of the cache."""
        self.waiting.append(job)
        job.fill = self
        self.cache.waiting_jobs += 1

    def leave(self, job):
        """Removes a waiting job; the last one cancels the fetch."""
        if job in self.waiting:
            self.waiting.remove(job)
            self.cache.waiting_jobs -= 1
            if not self.waiting and self.job is not None:
                self.job.cancel()
                self.cache.fills.pop(self.copy_key, None)
