"""What clients, caches and the kernel saw in a run, on one monotonic clock; the judge reads nothing else."""

from dataclasses import dataclass, field


@dataclass
class Call:
    """A call of a regular client."""

    trace: str
    client: str
    router: int
    life: int  # which process of that router
    allowed: float  # seconds
    written: float
    is_probe: bool  # of the client that measures, whose objects caches answer at once
    outcome: str | None = None  # satisfied, nacked, failed, exception
    answered: float | None = None
    gone: float | None = None  # when its client withdrew it or closed the connection
    ended: float | None = None  # when the connection ended without an answer


@dataclass
class Arrival:
    """A request that reached a cache whole."""

    trace: str
    cache: str
    at: float
    has_effect: bool
    may_have_run: bool


@dataclass
class Life:
    """One process of a router."""

    router: int
    number: int
    pid: int
    started: float
    ready: float | None = None
    told_to_end: float | None = None  # SIGTERM
    killed: float | None = None  # SIGKILL by the plan
    ended: float | None = None
    exit_code: int | None = None
    over_memory: bool = False
    peak_bytes: int = 0
    descriptors: int = 0  # most that were seen open
    memory: list[tuple[float, int]] = field(default_factory=list)  # (seconds, resident bytes)
    pauses: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP, SIGCONT


@dataclass
class Listing:
    """When the list said that a cache is gone and, later, that another is at its address."""

    address: str
    old: str
    new: str
    told_gone: float
    told_new: float


@dataclass
class History:
    """Everything that was recorded in a run."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    listings: list[Listing] = field(default_factory=list)
    worst_lag: float = 0.0  # seconds by which the recording loop itself was late
    began: float = 0.0
    rough_from: float = 0.0
