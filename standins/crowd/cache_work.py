"""One lookup as a cache has it: what was asked, its time in work, and the fill that it waits for."""


class CacheRequest:
    """One lookup as it came; who: the router's number, from the first digits of its id."""

    __slots__ = (
        "kind",
        "object",
        "part",
        "trace",
        "who",
        "patience",
        "source",
        "limit",
        "words",
        "fence",
        "key",
        "filling",
    )

    def __init__(self, kind, object_, part, trace, fields, filling=False):
        self.kind, self.object, self.part, self.trace, self.filling = kind, object_, part, trace, filling
        self.who = int(trace[:4], 16) if trace[:4] else -1
        self.patience = int(fields.get("x-patience", 10_000)) / 1_000
        self.source, self.limit = fields.get("x-origin-pick"), int(fields.get("x-stale-limit", 0))
        self.words, self.fence = fields.get("x-do", "").split("+"), fields.get("x-fence")
        self.key = fields.get("x-op-key")


class Job:
    """One lookup in work; done(status, made, note) is called once, unless it was given up first."""

    __slots__ = ("cache", "done", "timer", "behind", "over")

    def __init__(self, cache, done):
        self.cache, self.done, self.timer, self.behind, self.over = cache, done, None, None, False
        cache.jobs.add(self)

    def after(self, seconds, status, made=0, note=""):
        loop = self.cache.loop
        self.timer = loop.call_later(seconds, self.end, status, made, note)

    def end(self, status, made=0, note=""):
        if not self.over:
            self.give_up()
            self.done(status, made, note)

    def give_up(self):
        if not self.over:
            self.over = True
            self.cache.jobs.discard(self)
            if self.timer is not None:
                self.timer.cancel()
            if self.behind is not None:
                self.behind.leave(self)


class Fill:
    """One fetch from a source, and those who wait for it."""

    def __init__(self, cache, place):
        self.cache, self.place, self.waiting, self.job = cache, place, [], None

    def join(self, job):
        """It waits: it takes none of what the cache can do meanwhile."""
        self.waiting.append(job)
        job.behind = self
        self.cache.idle += 1

    def leave(self, job):
        if job in self.waiting:
            self.waiting.remove(job)
            self.cache.idle -= 1
            if not self.waiting and self.job is not None:
                self.job.give_up()
                self.cache.fills.pop(self.place, None)
