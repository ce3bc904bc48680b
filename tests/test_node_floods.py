"""A whole router in memory under floods and random faults: its log, its memory, its lookups."""

from random import Random

import pytest
from fleet import Net, answer, answers, message
from scenes import LogBuffer, Scene

from hookrouter.log import Log


def test_the_log_leaves_out_what_comes_in_a_flood_and_says_how_much():
    net, out = Net(), LogBuffer()
    log = Log(net.seconds, out)
    for _ in range(1000):
        log("kind", "x" * 10_000)
    log("other")
    net.advance(11)
    log("kind")
    log.close()
    lines = out.text.splitlines()
    assert len(lines) == 8 and "hookrouter: kind: 995 more left out" in lines and max(map(len, lines)) < 2100


def test_a_flood_of_garbage_neither_fills_the_log_nor_stays_in_memory(tmp_path):
    dice, s = Random(7), Scene(tmp_path)
    for _ in range(300):
        wire = s.client()
        wire.come(message(1, allow="x") + message(2, b"destroy") + message(3, service="nonsense"))
        wire.come(bytes(dice.randrange(128, 256) for _ in range(50)))
        s.net.advance(0)
        assert not wire.open
    s.net.advance(0.2)
    held, values = s.check_counters(), s.counters.values
    assert (values["calls_malformed"], values["calls_of_unknown_kind"], values["clients_malformed"]) == (
        600,
        300,
        300,
    )
    assert len(s.out.text.splitlines()) <= 15 and len(s.log.kinds) == 3
    assert (
        held["clients_held"] == held["body_bytes_held"] == held["lookups_held"] == held["deadlines_held"] == 0
    )


def test_a_log_that_nobody_reads_stops_nothing():
    class Closed:
        def write(self, text):
            raise BrokenPipeError

    log = Log(Net().seconds, Closed())
    log("kind")
    log.plain("line")


@pytest.mark.parametrize("seed", range(6))
def test_a_rough_day_loses_no_lookup_and_leaves_nothing_behind(tmp_path, seed):
    dice, s, sent, got, withdrawn = Random(seed), Scene(tmp_path), {}, {}, set()
    wires = [s.client() for _ in range(3)]
    for step in range(1500):
        n, what = dice.randrange(3), dice.randrange(8)
        open_ways = [way for way in s.net.ways if not way.over]
        caches = [way.wire for way in s.net.ways if way.wire is not None and way.wire.open]
        if what == 0 and step < 1200:
            sent[n, step] = s.net.seconds()
            wires[n].come(
                message(
                    step,
                    service=dice.choice(("clip", "clip", "hold")),
                    replay="5c0f",
                    lookup=f"{dice.randrange(20):016x}",
                    allow=str(dice.randrange(100, 4000)),
                )
            )
        elif what == 1 and open_ways:
            way = dice.choice(open_ways)
            dice.choice((way.up, way.up, way.up, way.refuse))()
        elif what in (2, 3) and caches:
            said = dice.choice(
                (
                    answer(200, b"x"),
                    answer(200, b"x"),
                    answer(404),
                    answer(503, b"", b"X-Declined: 1"),
                    answer(500),
                    b"junk\r\n\r\n",
                )
            )
            dice.choice(caches).come(said)
        elif what == 4 and caches and dice.random() < 0.3:
            dice.choice(caches).abortConnection()
        elif what == 5 and sent and dice.random() < 0.2:
            m, seqid = dice.choice(list(sent))
            wires[m].come(message(10**6 + step, b"interrupt", interrupted=seqid))
            withdrawn.add((m, seqid))
        else:
            s.net.advance(dice.choice((0, 0.005, 0.05)))
        # What the module believes to be out is what is out, and its counts by cache are made of just that.
        control, out = (
            s.router.control,
            {(lookup.number, n) for lookup in s.router.lookups.occupied() for n in lookup.active_sends},
        )
        assert set(control.pending_sends) == out and sum(control.in_flight) == sum(
            1 + (sent.upstream not in (None, sent.target)) for sent in control.pending_sends.values()
        )
        held = [c for c in s.router.caches.connections.occupied() if c.send or c.reserved_for]
        assert len(out) == len(held) + len(s.router.caches.waiting)
        assert not [c for c in held if c.send and c.reserved_for]
        for m, wire in enumerate(wires):
            for seqid, (_, struct) in answers(wire.take()).items():
                assert (m, seqid) not in got and s.net.seconds() - sent[m, seqid] <= 4.06
                got[m, seqid] = struct
    s.net.pump([0.05] * 100)
    for m, wire in enumerate(wires):
        got.update({(m, seqid): struct for seqid, (_, struct) in answers(wire.take()).items()})
    assert set(sent) - withdrawn <= set(got) <= set(sent)
    s.net.pump([16, 0, 0, 16, 0])
    held = s.check_counters()
    assert (
        held["lookups_held"]
        == held["connections_held"]
        == held["body_bytes_held"]
        == held["clients_held"]
        == 0
    )
    assert (
        all(out == 0 for out in s.router.control.in_flight)
        and not s.router.control.pending_sends
        and len(s.router.lookups) == 0
    )
    assert s.counters.values["decisions_failed"] == 0
