"""A desk killed under submitters: nothing acknowledged is lost, no number used twice; how many it takes."""

import http.client
import random
import signal
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor

from hookrouter.stores import PurgeLog

from .desks import Caller, Desk

SUBMITTERS = 32
DESKS = 5  # killed side by side


def killed(seed, times):
    """(kills, acknowledged, lost, numbers used twice) of one desk under submitters."""
    dice, folder = random.Random(seed), tempfile.mkdtemp(prefix="purges-")
    desk, acknowledged, twice, over = Desk(folder), {}, 0, threading.Event()
    desk.start()

    def submitter(n):
        count = 0
        while not over.is_set():
            key, items = f"{n}-{count}", tuple(("object", f"o{n}x{count}x{k}") for k in range(3))
            try:
                status, body = desk.caller().submit(key, items)
            except (OSError, http.client.HTTPException, ValueError):
                time.sleep(0.02)
                continue  # again, under the same key
            if status == 200:
                acknowledged[key] = [(row["number"], row["sort"], row["what"]) for row in body["purges"]]
                count += 1

    threads = [threading.Thread(target=submitter, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for _ in range(times):
        time.sleep(dice.uniform(0.01, 0.25))
        desk.kill()
        desk.start()
    over.set()
    for thread in threads:
        thread.join()
    desk.kill(signal.SIGTERM)
    log = PurgeLog(f"{folder}/purges.db", must_exist=True)
    rows = log.load().rows
    log.close()
    stored = {f"{purge.epoch}.{purge.n}": (purge.kind, purge.what) for purge, _ in rows}
    told = [row for purges in acknowledged.values() for row in purges]
    lost = sum(stored.get(number) != (kind, what) for number, kind, what in told)
    twice = len(told) - len({number for number, _, _ in told}) + len(rows) - len({p.what for p, _ in rows})
    return times, len(acknowledged), lost, twice


def kills(count):
    with ThreadPoolExecutor(DESKS) as pool:
        rows = list(pool.map(killed, range(DESKS), [count // DESKS] * DESKS))
    return dict(
        zip(("kills", "acknowledged", "acknowledged_lost", "numbers_used_twice"), map(sum, zip(*rows)))
    )


def submits(seconds):
    folder = tempfile.mkdtemp(prefix="purges-")
    desk = Desk(folder)
    desk.start()
    with ProcessPoolExecutor(4) as pool:
        done = sum(pool.map(submitting, [desk.port] * 4, range(4), [SUBMITTERS // 4] * 4, [seconds] * 4))
    desk.kill(signal.SIGTERM)
    return {"submits_per_s": round(done / seconds)}


def submitting(port, number, threads, seconds):
    until = time.monotonic() + seconds

    def one(n):
        caller, count = Caller(port), 0
        while time.monotonic() < until:
            status, body = caller.submit(f"{number}-{n}-{count}", (("object", f"{number}-{n}-{count}"),))
            if status != 200:
                raise RuntimeError(body)
            count += 1
        return count

    with ThreadPoolExecutor(threads) as pool:
        return sum(pool.map(one, range(threads)))
