"""Holds what was recorded in a run against the rules of the protocol page."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from .plan import Plan
from .records import Call, History, Life

ANSWER_SLACK = 0.55  # seconds beyond its time that a call may be answered, by the pages
CROSSING = 0.05  # seconds before the end of a connection: a call that crosses it is sent again
MAX_BEGIN = 0.15  # seconds after its client had gone that an attempt may begin, slack included
GRACE = 0.55  # seconds after the list said that a cache is gone, slack included
SPEED_FACTOR, SPEED_SLACK = 2.0, 0.05  # nine in ten calls beside a crowd: twice the calm time, plus seconds
MIN_PROBES = 20
MEGABYTE = 1_000_000
ACCEPT_DURATION = 0.7  # seconds after SIGTERM that the pages let new calls come


@dataclass(frozen=True)
class Breach:
    """One breach of a rule."""

    rule: str
    what: str
    trace: str | None = None


def judge(plan: Plan, history: History) -> list[Breach]:
    """All breaches of a run."""
    lives = {(life.router, life.number): life for life in history.lives}
    return [
        *_lost(history, lives),
        *_late_attempts(history),
        *_double_effects(history),
        *_wrong_process(history),
        *_processes(plan, history),
        *_slow(plan, history),
    ]


def _lost(history: History, lives: dict[tuple[int, int], Life]) -> Iterator[Breach]:
    slack = ANSWER_SLACK + history.worst_lag
    for call in history.calls:
        if call.outcome is not None or call.gone is not None:
            late = call.answered is not None and call.answered - call.written - call.allowed
            if late and late > slack + _paused(lives.get((call.router, call.life)), call):
                yield Breach("late answer", f"{late:.3f} s after its time", call.trace)
            continue
        life = lives.get((call.router, call.life))
        if life is not None and life.killed is not None and life.told_to_end is None:
            continue  # killed without a word
        if call.ended is not None and call.ended - call.written < CROSSING + history.worst_lag:
            continue
        how = "its connection ended" if call.ended is not None else "never answered"
        yield Breach("lost", f"{how}, written {_since_term(life, call)}", call.trace)


def _since_term(life: Life | None, call: Call) -> str:
    if life is None or life.told_to_end is None:
        return "to a router that was not told to end"
    return f"{call.written - life.told_to_end:+.3f} s after SIGTERM"


def _paused(life: Life | None, call: Call) -> float:
    """Seconds for which the router was stopped while the call was out."""
    if life is None or call.answered is None:
        return 0.0
    return sum(max(0.0, min(end, call.answered) - max(start, call.written)) for start, end in life.pauses)


def _late_attempts(history: History) -> Iterator[Breach]:
    gone = {call.trace: call.gone for call in history.calls if call.gone is not None}
    for arrival in history.arrivals:
        since = arrival.at - gone.get(arrival.trace, arrival.at)
        if since > MAX_BEGIN + history.worst_lag:
            yield Breach("late attempt", f"{since:.3f} s after its client had gone", arrival.trace)


def _double_effects(history: History) -> Iterator[Breach]:
    runs = defaultdict(int)
    for arrival in history.arrivals:
        if arrival.has_effect and arrival.may_have_run:
            runs[arrival.trace] += 1
    for trace, count in runs.items():
        if count > 1:
            yield Breach("effect twice", f"{count} runs", trace)


def _wrong_process(history: History) -> Iterator[Breach]:
    for listing in history.listings:
        for arrival in history.arrivals:
            if arrival.cache == listing.new and listing.told_gone + GRACE < arrival.at < listing.told_new:
                yield Breach("wrong process", f"{listing.new} got what was for {listing.old}", arrival.trace)


def _processes(plan: Plan, history: History) -> Iterator[Breach]:
    for life in history.lives:
        name = f"router {life.router}, process {life.number}"
        if life.over_memory:
            yield Breach("over memory", f"{name}: {life.peak_bytes / MEGABYTE:.1f} MB of {plan.memory_mb}")
        if life.descriptors > plan.sockets:
            yield Breach("over descriptors", f"{name}: {life.descriptors} of {plan.sockets}")
        if life.ended is not None and life.killed is None and life.told_to_end is None:
            yield Breach("ended by itself", f"{name}: exit code {life.exit_code}")
        elif life.exit_code not in (0, None) and life.killed is None:
            yield Breach("ended badly", f"{name}: exit code {life.exit_code}")


def _slow(plan: Plan, history: History) -> Iterator[Breach]:
    """Only in runs without signals, as a router that restarts answers nobody."""
    if plan.signals or not plan.crowds:
        return
    calm, rough = [], []
    for call in history.calls:
        if call.is_probe and call.answered is not None:
            (rough if call.written > history.rough_from + 0.5 else calm).append(call.answered - call.written)
    if min(len(calm), len(rough)) < MIN_PROBES:
        yield Breach("slow", f"{len(calm)} and {len(rough)} answers to the measuring client")
        return
    before, beside = nine_in_ten(calm), nine_in_ten(rough)
    if beside > SPEED_FACTOR * before + SPEED_SLACK:
        yield Breach("slow", f"nine in ten within {beside:.3f} s beside the crowd, {before:.3f} s before")


def nine_in_ten(times: list[float]) -> float:
    """The time within which nine in ten are."""
    return sorted(times)[int(len(times) * 0.9)]
