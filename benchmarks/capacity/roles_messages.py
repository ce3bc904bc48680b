"""Messages of each role at the size, by kind, and its processor time and memory beside the budget."""

from dataclasses import dataclass

from .assumptions import assumed
from .figures import Figure, Standing, bound, given, least, shown, total
from .inputs import MEGA, Inputs
from .roles_state import desk, keeper, live_index_bytes, memory_of, relay
from .scale_file import BYTES, CPU, MEMORY, MESSAGES
from .size import BOUNDS, BUDGET, SECONDS_A_DAY, SHORT_LEASE_S, SIZE
from .tables import table, verdict

HEADS = ("kind", "bytes/s in", "bytes/s out", "messages/s in", "messages/s out")
NO_MECHANISM = "no mechanism"
PER_CENT = 100.0


@dataclass(frozen=True)
class Traffic:
    """One kind of message of a role."""

    kind: str
    bytes_in: Figure
    bytes_out: Figure
    messages_in: Figure
    messages_out: Figure

    def cells(self) -> tuple[str, ...]:
        """As a row of the page."""
        figures = (self.bytes_in, self.bytes_out, self.messages_in, self.messages_out)
        return (self.kind, *(shown(figure) for figure in figures))


def _traffic(kind: str, find) -> Traffic:  # noqa: ANN001
    """find(direction, quantity) gives a figure."""
    return Traffic(kind, find("in", BYTES), find("out", BYTES), find("in", MESSAGES), find("out", MESSAGES))


def router(inputs: Inputs) -> tuple[Traffic, ...]:
    """Kinds of a router's control."""
    return (
        _traffic("view", lambda *what: inputs.of_fleet("router", "view", *what)),
        _traffic("purge feed and renewals", lambda *what: inputs.of_fleet("router", "purge_feed", *what)),
        _traffic("sharing", lambda *what: inputs.of_zone("router", "sharing", *what)),
        _traffic("streams to the leader", lambda *what: inputs.of_fleet("router", "keeper_stream", *what)),
    )


def router_rows(inputs: Inputs) -> tuple[Traffic, ...]:
    """The same, renewals apart: all that a router sends to its relay is renewals, each has one answer."""
    view, both, *others = router(inputs)
    answers = both.messages_out
    size = answers * inputs.each("wire.renewal_answer")
    nothing = Figure(0.0, Standing.BOUND)
    feed = Traffic("purge feed", both.bytes_in - size, nothing, both.messages_in - answers, nothing)
    renewals = Traffic("renewals of the lease", size, both.bytes_out, answers, both.messages_out)
    return (view, feed, renewals, *others)


def relay_traffic(inputs: Inputs, followers: int) -> tuple[Traffic, ...]:
    """Kinds of a relay with so many followers."""

    def find(*what: str) -> Figure:
        return inputs.of_followers("relay", "purge_feed", *what, followers)

    return (_traffic("purge feed and renewals", find),)


def keeper_traffic(inputs: Inputs, leads: bool) -> tuple[Traffic, ...]:
    """Kinds of a keeper."""
    role = "keeper_leader" if leads else "keeper_follower"

    def log(*what: str) -> Figure:
        return inputs.of_leader("log", *what) if leads else inputs.of_fleet(role, "log", *what)

    return (
        _traffic("view", lambda *what: inputs.of_fleet(role, "view", *what)),
        _traffic("members' streams", lambda *what: inputs.of_fleet(role, "keeper_stream", *what)),
        _traffic("log", log),
    )


def desk_traffic(inputs: Inputs) -> tuple[Traffic, ...]:
    """Kinds of the owner of the desk's duty, towards relays."""
    return (_traffic("purge feed and renewals", lambda *what: inputs.of_desk("purge_feed", *what)),)


def both_ways(traffic: tuple[Traffic, ...]) -> Figure:
    """Bytes a second in and out, of all kinds."""
    return total(figure for row in traffic for figure in (row.bytes_in, row.bytes_out))


def renewals_most(inputs: Inputs) -> Figure:
    """Bytes a second of a router's renewals for news: what the code's rule comes to at most."""
    message = inputs.each("wire.renewal_request") + inputs.each("wire.renewal_answer")
    return message * least((given(SIZE.purges_per_s), bound(BOUNDS.news_in_lease / SHORT_LEASE_S)))


def renewals_text(inputs: Inputs) -> str:
    """What renewals are of the purge feed's bytes, by the sizes of the messages and the code's rule."""
    request, answer = inputs.each("wire.renewal_request"), inputs.each("wire.renewal_answer")
    return (
        f"A renewal is {shown(request, 'bytes')} out and {shown(answer, 'bytes')} in. A follower renews "
        f"for news {BOUNDS.news_in_lease} times a lease at most, so in a stream of purges and with a lease "
        f"of {SHORT_LEASE_S:g} s it is {shown(renewals_most(inputs), 'bytes/s')} at most; "
        f"a purge alone in its event is "
        f"{shown(Figure(inputs.measured('wire.purge_event').at(1), Standing.MEASURED), 'bytes')}."
    )


def configuration_bytes() -> Figure:
    """Bytes a second of a router if each change were sent whole; there is no mechanism that does."""
    return assumed("configuration_change") * given(SIZE.changes_per_day / SECONDS_A_DAY)


def router_memory(inputs: Inputs) -> Figure:
    """MB of a router: as the scale run has it, and the tables of a whole hold beside it."""
    return inputs.of_fleet("router", "all", "none", MEMORY) + live_index_bytes(inputs) * MEGA


def messages_table(traffic: tuple[Traffic, ...], rows_shown: tuple[Traffic, ...] | None = None) -> str:
    """Kinds of one role, with the configuration, for which nothing is sent. rows_shown: kinds taken apart."""
    rows = [row.cells() for row in rows_shown or traffic]
    rows.append(("configuration", *[NO_MECHANISM] * 4))
    rows.append(("all, both ways", shown(both_ways(traffic)), "", "", ""))
    return table(HEADS, rows)


def router_budget(inputs: Inputs) -> str:
    """What a router's control takes beside the operators' budget."""
    lines = (
        (
            "processor",
            "% of a core",
            inputs.of_fleet("router", "all", "none", CPU),
            BUDGET.core_share,
            PER_CENT,
        ),
        ("memory", "MB", router_memory(inputs), BUDGET.memory_mb, 1.0),
        ("bytes", "a second", both_ways(router(inputs)), BUDGET.bytes_per_s, 1.0),
    )
    rows = [
        (
            name,
            f"{most * scale:g} {unit}",
            shown(figure, "", scale),
            f"{figure.value / most:.2f}",
            verdict(figure, most),
        )
        for name, unit, figure, most, scale in lines
    ]
    return table(("line", "budget", "value at the size", "of the budget", ""), rows)


def process_table(inputs: Inputs) -> str:
    """Processor time and memory of each role's process, the tables of a whole hold beside it."""
    followers = inputs.followers_of_relay
    roles = (
        ("relay", lambda what: inputs.of_followers("relay", "all", "none", what, followers), relay(inputs)),
        (
            "keeper that leads",
            lambda what: inputs.of_fleet("keeper_leader", "all", "none", what),
            keeper(),
        ),
        (
            "keeper that follows",
            lambda what: inputs.of_fleet("keeper_follower", "all", "none", what),
            keeper(),
        ),
        ("owner of the desk's duty", lambda what: inputs.of_fleet("desk", "all", "none", what), desk()),
    )
    rows = []
    for name, find, tables in roles:
        held = memory_of(tables, inputs)
        cpu, memory = find(CPU), find(MEMORY)
        rows.append((name, shown(cpu, "", PER_CENT), shown(memory), shown(held, "", MEGA)))
    heads = ("process", "processor, % of a core", "memory in the run, MB", "tables of a whole hold, MB")
    return table(heads, rows)


def relay_cpu(inputs: Inputs) -> Figure:
    """Cores of a relay with its share of the routers."""
    return inputs.of_followers("relay", "all", "none", CPU, inputs.followers_of_relay)


def leader_cpu(inputs: Inputs) -> Figure:
    """Cores of the keeper that leads."""
    return inputs.of_fleet("keeper_leader", "all", "none", CPU)


def machine_cpu(inputs: Inputs) -> Figure:
    """Cores of the busiest machine: a relay, and a keeper that leads and owns the desk, its base twice."""
    desk_cpu = inputs.of_fleet("desk", "all", "none", CPU)
    return total((desk_cpu, leader_cpu(inputs), relay_cpu(inputs)))


def machine_bytes(inputs: Inputs) -> Figure:
    """Bytes a second in and out of that machine."""
    relayed = both_ways(relay_traffic(inputs, inputs.followers_of_relay))
    return relayed + both_ways(desk_traffic(inputs)) + both_ways(keeper_traffic(inputs, True))


def machine_memory(inputs: Inputs) -> Figure:
    """MB of that machine: both processes, and the tables of a whole hold."""
    followers = inputs.followers_of_relay
    held = memory_of(relay(inputs), inputs) + memory_of(desk(), inputs)
    return (
        inputs.of_fleet("desk", "all", "none", MEMORY)
        + inputs.of_followers("relay", "all", "none", MEMORY, followers)
        + Figure(held.value * MEGA, max(held.standing, Standing.EXTRAPOLATED), held.missing)
    )


def machine_table(inputs: Inputs) -> str:
    """The busiest machine set aside for control."""
    rows = (
        ("processor, cores", shown(machine_cpu(inputs))),
        ("memory, MB", shown(machine_memory(inputs))),
        ("bytes a second, both ways", shown(machine_bytes(inputs))),
    )
    return table(("of the machine with a relay and the keeper that leads and owns the desk", "value"), rows)
