"""Slices of sealed purges by time: opened, filled, sealed, dropped whole once the hold is over.

Exactly one slice is open. Purges are added in the order in which they were told, so their times rise but
for the skew; one that is older than the open slice's span is added to the open slice all the same, whose
bound is newer: the safe side.
"""

from collections import deque
from collections.abc import Callable

from .bank import FilterBank
from .geometry import SLICES

EXTRA = 4  # slices that may be opened before their time because one is full; beyond it the open one overfills


class Slice:
    """One slice. bound: the newest purge time in it; keys: how many digests were added."""

    __slots__ = ("column", "span", "bound", "keys", "early")

    def __init__(self, column: int, span: int, early: bool) -> None:
        """Empty. span: number of its stretch of time; early: opened because the one before was full."""
        self.column, self.span, self.early = column, span, early
        self.bound = self.keys = 0


class Slices:
    """The slices of one kind of purge. The bank is made with the first purge that is sealed."""

    def __init__(self, hold: int, capacity: int, make_bank: Callable[[], FilterBank]) -> None:
        """hold: as in PurgeTerms. capacity: digests for which a slice of the bank is sized."""
        self.hold, self.capacity = hold, capacity
        self.length = -(-hold // SLICES)
        self.overfull = (
            0  # purges added to a slice beyond its capacity: false positives rise, never negatives
        )
        self._make_bank = make_bank
        self._bank: FilterBank | None = None
        self._live: list[Slice] = []  # the open one last
        self._in_use = 0  # bit mask of the columns of live slices
        self._bounds: list[int] = []  # by column
        self._clean: deque[int] = deque()  # columns that may be opened
        self._unsealed: deque[Slice] = deque()
        self._dropped: deque[int] = deque()  # columns that wait to be cleared

    def __len__(self) -> int:
        """How many slices are live."""
        return len(self._live)

    @property
    def newest(self) -> int:
        """The newest bound of all slices, 0 where there are none."""
        return max((one.bound for one in self._live), default=0)

    @property
    def keys(self) -> int:
        """Digests in all live slices, repeats counted."""
        return sum(one.keys for one in self._live)

    def live(self) -> tuple[Slice, ...]:
        """The live slices, the open one last."""
        return tuple(self._live)

    def bytes(self) -> int:
        """Memory of the filters."""
        return 0 if self._bank is None else self._bank.bytes()

    def add(self, digest: int, made: int) -> Slice:
        """One purge more in the open slice; it binds every answer from now on."""
        self._have_bank()
        current = self._open_for(made)
        self._bank.add(current.column, digest)
        current.keys += 1
        current.bound = self._bounds[current.column] = max(current.bound, made)
        return current

    def adopt(self, newest: int, bound: int, keys: int) -> Slice:
        """The slice into which one that was made elsewhere is merged. newest: the time of its newest purge,
        which says its stretch; bound: the same with what is added for clocks, which counts from now on.

        The one of that stretch, else a new one in its place, else, where no column is free, one of a later
        stretch, whose bound is newer: the safe side. merge() follows.
        """
        self._have_bank()
        found = self._adopting(newest // self.length)
        found.bound = self._bounds[found.column] = max(found.bound, bound)
        found.keys = max(found.keys, keys)
        return found

    def merge(self, into: Slice, bits: bytes, start: int) -> int:
        """One bounded step, see FilterBank; a slice that was dropped meanwhile is done with."""
        return self._bank.merge(into.column, bits, start) if into in self._live else len(bits)

    def log2_bits(self) -> int:
        """Of the bits that merge takes."""
        self._have_bank()
        return self._bank.log2_bits()

    def bound(self, digest: int) -> int:
        """The newest bound of the slices that may contain the digest, 0 where none does."""
        if not self._in_use:
            return 0
        found, newest = self._bank.matches(digest) & self._in_use, 0
        while found:
            lowest = found & -found
            newest = max(newest, self._bounds[lowest.bit_length() - 1])
            found ^= lowest
        return newest

    def pending(self, now: int) -> bool:
        """Whether a slice is to be dropped, sealed or cleared."""
        return bool(self._unsealed or self._dropped or self._expired(now))

    def drop(self, now: int) -> list[Slice]:
        """The slices whose every purge is older than the hold; they answer no more."""
        gone = []
        while self._expired(now):
            one = self._live.pop(0)
            gone.append(one)
            self._in_use &= ~(1 << one.column)
            self._dropped.append(one.column)
            if one in self._unsealed:
                self._unsealed.remove(one)
        return gone

    def step(self) -> None:
        """One bounded piece of each work that waits: sealing, and clearing dropped columns."""
        if self._unsealed and self._bank.seal(self._unsealed[0].column):
            self._unsealed.popleft()
        if self._dropped and self._bank.clear(self._dropped[0]):
            self._clean.append(self._dropped.popleft())

    def _expired(self, now: int) -> bool:
        """Whether the oldest slice says nothing any more: no copy is as old as the newest purge in it."""
        return bool(self._live) and self._live[0].bound < now - self.hold

    def _open_for(self, made: int) -> Slice:
        span = made // self.length
        current = self._live[-1] if self._live else None
        full = current is not None and current.keys >= self.capacity
        due = current is None or span > current.span
        if not due and full and sum(one.early for one in self._live) >= EXTRA:
            self.overfull += 1
            return current
        if not (due or full):
            return current
        # Where columns wait to be cleared the open slice goes on, its bound rises.
        if not self._clean and current is not None:
            self.overfull += full
            return current
        opened = self._opened(len(self._live), span if due else current.span, early=not due)
        if current is not None:
            self._unsealed.append(current)
        return opened

    def _opened(self, at: int, span: int, early: bool) -> Slice:
        """A new slice at that place of the live ones."""
        while not self._clean:  # none is live, and all columns still have to be cleared
            self.step()
        opened = Slice(self._clean.popleft(), span, early)
        self._bounds[opened.column] = 0
        self._in_use |= 1 << opened.column
        self._live.insert(at, opened)
        return opened

    def _adopting(self, span: int) -> Slice:
        for at, one in enumerate(self._live):
            if one.span == span:
                return one
            if one.span > span:
                return self._opened(at, span, early=False) if self._clean else one
        if self._clean or not self._live:
            return self._opened(len(self._live), span, early=False)
        return self._live[-1]

    def _have_bank(self) -> None:
        if self._bank is None:
            self._bank = self._make_bank()
            self._bounds = [0] * self._bank.columns
            self._clean.extend(range(self._bank.columns))
