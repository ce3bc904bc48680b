"""The lab's stations: how far they are from theory, and what they cost. Simulated servers all."""

import statistics
import time

import numpy as np

from hookrouter.lab import theory
from hookrouter.lab.engine import Engine
from hookrouter.lab.stations import Link, LruCache, Queue


def run(quick):
    count = 200_000 if quick else 2_000_000
    seeds = (1, 2, 3)
    waits = [waiting(seed, count) for seed in seeds]
    stays = [sharing(seed, count) for seed in seeds]
    hits = [keeping(seed, count) for seed in seeds]
    few, many = carrying(100), carrying(10_000)
    again = waiting(seeds[0], count)
    return {
        "erlang_c_error": off(waits),
        "sharing_error": off(stays),
        "che_error": off(hits),
        "little_error": max(row[1] for row in (*waits, *stays)),
        "deterministic": again[:3] == waits[0][:3],
        "job_us": round(statistics.median(row[3] for row in waits), 2),
        "transfer_us_at_100": few,
        "transfer_us_at_10000": many,
    }


def off(rows):
    """Of the mean over seeds: one seed alone is off by chance at this load."""
    return round(abs(statistics.fmean(row[0] for row in rows)), 4)


def fed(seed, rate, count, arrive):
    """Seconds for so many Poisson arrivals, run to the end."""
    spans = np.rint(np.random.default_rng(seed).exponential(1 / rate, count)).astype(int).tolist()
    engine = arrive.__self__.engine

    def come(n):
        arrive(n)
        if n + 1 < count:
            engine.after(spans[n + 1], come, n + 1)

    began = time.perf_counter()
    engine.after(spans[0], come, 0)
    engine.run(1 << 60)
    return time.perf_counter() - began


class Fed:
    """A station and what is put into it."""

    def __init__(self, engine, take, sizes):
        self.engine, self.take, self.sizes = engine, take, sizes

    def arrive(self, n):
        self.take(self.sizes[n], nothing)


def nothing():
    pass


def apart(tally):
    stayed, area = tally.little()
    return abs(stayed - area)


def waiting(seed, count, cores=4, work=1_000, load=0.8):
    """(share off Erlang's wait, off Little's law, the mean, microseconds a job)."""
    engine, rate = Engine(), load * cores / work
    queue = Queue(engine, cores)
    jobs = np.rint(np.random.default_rng(100 + seed).exponential(work, count)).astype(int).tolist()
    took = fed(seed, rate, count, Fed(engine, queue.take, jobs).arrive)
    mean = statistics.fmean(queue.waits)
    return mean / theory.erlang_c_wait(rate, work, cores) - 1, apart(queue.tally), mean, took / count * 1e6


def sharing(seed, count, mean=500.0, load=0.7):
    engine = Engine()
    link = Link(engine, rate=1.0)
    sizes = np.random.default_rng(200 + seed).exponential(mean, count).tolist()
    fed(seed, load / mean, count, Fed(engine, link.carry, sizes).arrive)
    return link.tally.total_stay / count / theory.shared_stay(load / mean, mean) - 1, apart(link.tally)


def keeping(seed, count, objects=20_000, slots=1_000):
    weights = theory.zipf(objects, 0.9)
    names = np.random.default_rng(seed).choice(objects, count, p=weights).tolist()
    copies, hits, warm = LruCache(slots), 0, count // 5
    for n, name in enumerate(names):
        if copies.find(name) is not None:
            hits += n >= warm
        else:
            copies.keep(name, 1.0, n)
    return (hits / (count - warm) - theory.che_hits(weights, slots),)


def carrying(count):
    """Microseconds a transfer, so many at once on one link."""
    engine = Engine()
    link = Link(engine, rate=1.0)
    began = time.perf_counter()
    for n in range(count):
        link.carry(100.0 + n % 97, nothing)
    engine.run(1 << 60)
    return round((time.perf_counter() - began) / count * 1e6, 2)
