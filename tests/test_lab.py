"""The simulation's queues, links and caches against queueing theory; conservation of jobs and bytes."""

import numpy as np
import pytest

from hookrouter.lab import theory
from hookrouter.lab.engine import Engine
from hookrouter.lab.stations import Link, LruCache, Queue


def arrivals(seed, rate, count):
    """Times between Poisson arrivals, as integers."""
    return np.rint(np.random.default_rng(seed).exponential(1 / rate, count)).astype(int)


def schedule_arrivals(engine, spans, arrive):
    """Schedules arrive(n) for each span, one at a time, so that the heap holds only the next arrival."""

    def next_arrival(n):
        arrive(n)
        if n + 1 < len(spans):
            engine.after(int(spans[n + 1]), next_arrival, n + 1)

    engine.after(int(spans[0]), next_arrival, 0)


@pytest.mark.parametrize("cores, load", [(1, 0.7), (4, 0.8), (16, 0.9)])
def test_waits_of_m_m_c_are_erlangs(cores, load):
    engine, count, work = Engine(), 300_000, 1_000
    rate = load * cores / work
    queue = Queue(engine, cores)
    jobs = np.rint(np.random.default_rng(7).exponential(work, count)).astype(int)
    schedule_arrivals(engine, arrivals(3, rate, count), lambda n: queue.take(int(jobs[n]), lambda: None))
    engine.run(1 << 60)
    assert np.mean(queue.waits) == pytest.approx(theory.erlang_c_wait(rate, work, cores), rel=0.03)
    stayed, area = queue.tally.little()
    assert stayed == area and queue.tally.inside == 0 and queue.tally.left == count


@pytest.mark.parametrize("shape", ("exponential", "even", "two sizes"))
def test_stays_on_a_shared_link_are_those_of_processor_sharing_whatever_the_sizes(shape):
    engine, count, mean = Engine(), 120_000, 500.0
    generator = np.random.default_rng(5)
    sizes = {
        "exponential": lambda: generator.exponential(mean, count),
        "even": lambda: np.full(count, mean),
        "two sizes": lambda: generator.choice([mean * 0.1, mean * 4.6], count, p=[0.8, 0.2]),
    }[shape]()
    link = Link(engine, rate=1.0)
    rate = 0.7 / mean
    schedule_arrivals(engine, arrivals(11, rate, count), lambda n: link.carry(float(sizes[n]), lambda: None))
    engine.run(1 << 60)
    stayed, area = link.tally.little()
    assert stayed / count == pytest.approx(theory.shared_stay(rate, mean), rel=0.03)
    assert stayed == area and link.running == set() and link.heap == []
    assert link.carried == pytest.approx(link.asked) == pytest.approx(float(np.sum(sizes)))


def test_a_link_with_a_bound_on_each_flow_is_shared_as_worked_out_by_hand():
    engine, ends = Engine(), {}
    link = Link(engine, rate=2.0, flow=1.0)

    def carry(name, size):
        return link.carry(size, lambda: ends.setdefault(name, engine.now))

    carry("a", 100.0)  # alone, at its maximum rate of 1
    engine.run(40)
    carry("b", 100.0)
    engine.run(60)  # both at 1; a has 40 left, b 80
    c = carry("c", 300.0)  # three at 2/3: a ends 60 later
    engine.run(130)
    assert ends == {"a": 120}
    link.give_up(c)  # carried so far: 60 at 2/3, then 10 at 1
    link.give_up(c)
    engine.run(1_000)
    assert ends == {"a": 120, "b": 160} and link.tally.inside == 0
    assert link.carried + link.dropped == pytest.approx(link.asked) and link.dropped == pytest.approx(250.0)


def test_thousands_of_transfers_on_one_link_cost_a_step_in_a_heap_each():
    calls = []
    for count in (1_000, 8_000):
        engine, link = Engine(), None
        link = Link(engine, rate=1.0)
        for n in range(count):
            link.carry(100.0 + n % 7, lambda: None)
        engine.run(1 << 60)
        calls.append(engine.calls / count)
    assert calls[1] <= calls[0] + 0.1 and link.tally.left == 8_000


@pytest.mark.parametrize("exponent, slots", [(0.7, 200), (0.9, 1_000), (1.1, 500)])
def test_hits_of_a_cache_are_ches(exponent, slots):
    weights = theory.zipf(20_000, exponent)
    names = np.random.default_rng(9).choice(len(weights), 300_000, p=weights)
    cache, hits, warmup = LruCache(slots), 0, 50_000
    for n, name in enumerate(names):
        found = cache.find(name)
        hits += found is not None and n >= warmup
        if found is None:
            cache.keep(name, 1.0, n)
    assert hits / (len(names) - warmup) == pytest.approx(theory.che_hits(weights, slots), abs=0.02)
    assert cache.held == len(cache.rows) == slots


def test_copies_have_an_age_and_a_room():
    cache = LruCache(10.0)
    assert cache.keep("a", 6.0, 5) == [] and cache.keep("b", 4.0, 9) == []
    assert cache.find("a", oldest=6) is None and cache.find("a", oldest=5) == 5
    assert cache.keep("c", 3.0, 12) == ["b"] and cache.keep("d", 11.0, 12) == [] and cache.held == 9.0
    assert cache.keep("a", 1.0, 20) == [] and cache.held == 4.0 and cache.find("a") == 20
    cache.flush()
    assert cache.held == 0.0 and cache.find("a") is None


def test_the_same_calls_come_in_the_same_order_whatever_else_was_dropped():
    engine, seen = Engine(), []
    for n in range(50):
        engine.after(n % 5, seen.append, n)
    engine.after(-3, seen.append, "past")
    engine.run(2)
    assert engine.now == 2 and seen == [*range(0, 50, 5), "past", *range(1, 50, 5), *range(2, 50, 5)]


def test_a_full_queue_refuses_and_the_rest_comes_out():
    engine, done = Engine(), []
    queue = Queue(engine, 2, max_waiting=3)
    assert [queue.take(10, done.append, n) for n in range(7)] == [True] * 5 + [False] * 2
    engine.run(100)
    assert done == [0, 1, 2, 3, 4] and queue.waits == [0, 0, 10, 10, 20]
