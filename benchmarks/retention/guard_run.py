"""One guard told of purges for a day and more, in made-up time: memory, steps, old copies, held share."""

import gc
from array import array
from collections.abc import Iterator
from itertools import count
from os import sysconf
from random import Random
from time import perf_counter
from typing import NamedTuple

from hookrouter.purges import Guard, Purge
from hookrouter.purges import types as w
from hookrouter.purges.bounds import ALWAYS_TOLD, Bound, raised
from hookrouter.purges.guard import ROUNDING
from hookrouter.site import SECTIONS, purge_terms

from .copies import DAY, Lookups
from .sample import Held, Sample, learn, may_answer
from .stock import KIND, SECOND, Mix, Named, Purges

RATE = 32  # purges a second
HOLD = DAY
GAP = SECOND // RATE
START = 2 * DAY  # of the made-up clock: copies a day old have a time of their own
REMEMBERED_TAGS = 50_000
SLOW = 0.001  # seconds; steps that take longer are kept with their number
KEPT_ONE_IN = 128  # purges that the plain model keeps
JUDGED = 400  # of these judged at each look
LOOKS = 4  # at the guard in the last hour
BINDS_OTHERS = ("shared", "every name")  # values of how a guard says it kept a purge
SETTLED = 2 * SECOND  # after its purge an old copy must not answer, sends that were out included


class Shape(NamedTuple):
    """One run."""

    hours: float
    mix: Mix
    seed: int = 44
    sample: int = 20_000
    told_hours: float | None = None  # the last ones, told to the guard; what is before is sealed at once
    names: int | None = None  # purges kept one by one, of each kind; None: as without the key


class Judged(NamedTuple):
    """Old copies by the plain model, and how many a guard let answer."""

    judged: int
    answered: int


class Run(NamedTuple):
    """What one run gave; what is needed to go on with it in the same process is not in it."""

    steps: int  # purges in all
    told: int  # of these, told to the guard
    live: int  # told within the hold
    told_us: float
    memory_mb: float
    slow: dict[int, float]  # step -> seconds, of those slower than SLOW
    judged: Judged
    held: Held
    now: int
    kept_with_others: int  # purges that bind names that they do not concern, all or those of a shared bound


def guard(names: int | None = None) -> Guard:
    """As an operator's file without keys has it, or with so many names; its lease does not end."""
    values = {key: row.default for key, row in SECTIONS["purges"].items()}
    if names is not None:
        values["names"] = names
    made = Guard(purge_terms(values, w.MAX_PATTERN_MEMORY), judged=(KIND,))
    made.granted(0, 1 << 60)
    return made


def seal(keeper: Guard, now: int, purge: Named) -> None:
    """As the guard does with a purge that leaves its exact part: the first hours without their way there.

    Globs are never sealed and are told.
    """
    index = keeper.index
    tables = {w.OBJECT: index.objects, w.TAG: index.tags, w.PREFIX: index.prefixes}
    if purge.kind not in tables:
        keeper.told(now, Purge(1, 1, now, purge.kind, purge.what))
        return
    made = now + keeper.terms.skew + ROUNDING
    index.version += 1  # as the index does with each purge: what it remembers of names is void
    tables[purge.kind].sealed.seal(purge.what, Bound(made, ALWAYS_TOLD))
    if purge.kind == w.TAG:
        index.any_tag = raised(index.any_tag, made, now, keeper.terms.grace)


def resident_mb() -> float:
    """Resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * sysconf("SC_PAGE_SIZE") / 1e6


class Model:
    """The plain model: a part of the purges, each with an object that it concerns.

    It keeps numbers, so that the memory of a run is the guard's.
    """

    def __init__(self) -> None:
        """Empty."""
        self._made, self._names = array("q"), array("Q")

    def told(self, made: int, purge: Named) -> None:
        """One purge that is kept."""
        self._made.append(made)
        self._names.append(int(purge.example, 16))

    def judge(self, guard: Guard, now: int, dice: Random) -> Judged:
        """Copies from before a purge, some at its very time: none of them may answer."""
        rows = zip(self._made, self._names)
        live = [row for row in rows if now - HOLD < row[0] <= now - SETTLED]
        wrong, chosen = 0, dice.sample(live, min(JUDGED, len(live)))
        for purged, number in chosen:
            made = purged - dice.choice((0, 0, 1, dice.randrange(SECOND), dice.randrange(HOLD)))
            wrong += may_answer(guard, now, f"{number:016x}", made)
        return Judged(len(chosen), wrong)


def looks(shape: Shape) -> list[int]:
    """Steps after which the guard is looked at: some over the run, more in its last hour."""
    last = int(shape.hours * 3_600 * RATE)
    hour = min(3_600 * RATE, last)
    early = [last * n // 12 for n in range(1, 11)]
    return sorted({*early, *(last - hour * n // LOOKS for n in range(LOOKS))})


def steps_before_told(shape: Shape) -> int:
    """Purges that are sealed at once."""
    return 0 if shape.told_hours is None else round(max(0.0, shape.hours - shape.told_hours) * 3_600 * RATE)


def purges(shape: Shape) -> Iterator[tuple[int, Named]]:
    """(time, purge) at the rate."""
    made = Purges(shape.seed, shape.mix)
    return ((START + n * GAP, made.purge()) for n in count())


def play(shape: Shape) -> tuple[Run, Guard]:
    """The run, and the guard as it ends."""
    sample = Sample(Lookups(shape.seed + 1).sample(shape.sample))
    learned, dice, model = Lookups(shape.seed + 2), Random(shape.seed + 3), Model()
    slow: dict[int, float] = {}
    stops, due = set(looks(shape)), looks(shape)
    judged, held, took, with_others = Judged(0, 0), Held(0, 0), 0.0, 0
    source = purges(shape)
    gc.collect()
    gc.freeze()  # as `serve` does before it takes lookups
    before, keeper, now = resident_mb(), guard(shape.names), 0
    last_looks, first_told = set(due[-LOOKS:]), steps_before_told(shape) + 1
    for step in range(1, due[-1] + 1):
        now, purge = next(source)
        sample.told(purge)
        if step < first_told:
            seal(keeper, now, purge)
        else:
            event = Purge(1, step, now, purge.kind, purge.what)
            began = perf_counter()
            kept = keeper.told(now, event)
            span = perf_counter() - began
            took += span
            if span > SLOW:
                slow[step] = span
            with_others += kept.value in BINDS_OTHERS
        if not step % KEPT_ONE_IN:
            model.told(now, purge)
        if step in stops:
            one = model.judge(keeper, now, dice)
            judged = Judged(judged.judged + one.judged, judged.answered + one.answered)
        if step in last_looks:
            if held.asked == 0 and shape.mix.tag:
                learn(keeper, now, learned, REMEMBERED_TAGS + REMEMBERED_TAGS // 5)
            one = sample.held(keeper, now)
            held = Held(held.asked + one.asked, held.held + one.held)
    gc.collect()
    memory = resident_mb() - before
    live = min(due[-1], HOLD // GAP)
    told = due[-1] - first_told + 1
    return Run(due[-1], told, live, took / told * 1e6, memory, slow, judged, held, now, with_others), keeper


def run(shape: Shape) -> Run:
    """As a process of its own calls it."""
    return play(shape)[0]


def longest_step_ms(one: Run, other: Run) -> float:
    """The longest step of the guard's own, by two runs of the same steps.

    Both runs do the same at the same step, so a step that is long by itself is long in both, and a pause of
    the scheduler strikes one of them. The lesser time of each step counts; one that is below SLOW in either
    run counts as SLOW at most.
    """
    both = [min(one.slow[step], other.slow[step]) for step in one.slow.keys() & other.slow.keys()]
    return max(both, default=SLOW) * 1e3
