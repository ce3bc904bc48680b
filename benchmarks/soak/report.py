"""What an on-call engineer needs of a run that failed: its plan, one id everywhere, log and memory."""

from collections.abc import Iterator

from .judge import MEGABYTE, Breach
from .records import History
from .world import World, as_text

MAX_BREACHES = 8
MAX_LOG_LINES = 12


def lines(world: World, history: History, breaches: list[Breach]) -> Iterator[str]:
    """The report of a run."""
    yield f"plan: {as_text(world.plan)}"
    yield f"worst lag of the recorder: {history.worst_lag:.3f} s"
    for breach in breaches[:MAX_BREACHES]:
        yield f"breach: {breach.rule}: {breach.what} id={breach.trace}"
    first = next((breach.trace for breach in breaches if breach.trace), None)
    if first is not None:
        yield from _timeline(history, first)
        yield from world.log_lines(first)[:MAX_LOG_LINES]
    for life in history.lives:
        yield (
            f"router {life.router} process {life.number}: started {life.started - history.began:.2f}, "
            f"SIGTERM {_since(life.told_to_end, history)}, SIGKILL {_since(life.killed, history)}, "
            f"ended {_since(life.ended, history)} with {life.exit_code}, "
            f"peak {life.peak_bytes / MEGABYTE:.1f} MB"
        )
        by_second = {int(at - history.began): size for at, size in life.memory}
        yield "  MB by second: " + " ".join(f"{at}:{size / MEGABYTE:.0f}" for at, size in by_second.items())
    yield from world.log_lines("memory ", "Traceback", "uncaught", "failed:")[:MAX_LOG_LINES]


def _since(at: float | None, history: History) -> str:
    return "-" if at is None else f"{at - history.began:.3f}"


def _timeline(history: History, trace: str) -> Iterator[str]:
    """One id through its client and the caches."""
    for call in history.calls:
        if call.trace == trace:
            yield (
                f"  {trace}: {call.client} wrote it {_since(call.written, history)}, "
                f"allowed {call.allowed:.3f} s, gone {_since(call.gone, history)}, "
                f"answered {_since(call.answered, history)} ({call.outcome}), "
                f"connection ended {_since(call.ended, history)}"
            )
    for arrival in history.arrivals:
        if arrival.trace == trace:
            yield f"  {trace}: reached {arrival.cache} {_since(arrival.at, history)}"
