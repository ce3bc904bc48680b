"""Ids that were used a short time ago, within a bound."""


class RecentIds:
    """Remembers ids for a while, the newest `size` of them; times are in the caller's units."""

    def __init__(self, size: int, duration: int) -> None:
        """size: ids at most; duration: for which one is remembered."""
        self.size, self.duration = size, duration
        self.expiry: dict[str, int] = {}  # id -> until when, the soonest first

    def __len__(self) -> int:
        return len(self.expiry)

    def add(self, name: str, now: int) -> None:
        """Remembers an id from now on."""
        self.expiry.pop(name, None)
        self.expiry[name] = now + self.duration
        while len(self.expiry) > self.size or next(iter(self.expiry.values())) <= now:
            del self.expiry[next(iter(self.expiry))]

    def holds(self, name: str, now: int) -> bool:
        """Whether the id was added less than the duration ago."""
        return self.expiry.get(name, now) > now
