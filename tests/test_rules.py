"""Compares Control with the model of the rules in fleet.py, on generated inputs."""

from random import Random

import pytest
from fleet import FLEET, KINDS, MS, SECOND, Model, lookup, terms

from hookrouter import interface
from hookrouter.control import Control


def random_change(rng, now):
    cache = rng.choice(FLEET)
    phase = rng.choice((interface.READY, interface.READY, interface.DRAINING, interface.GONE))
    born = now - rng.randrange(3 * SECOND) if rng.random() < 0.5 else cache.born
    return cache._replace(phase=phase, born=born)


def play(seed, control_of=Control, lookups=400, **more):
    """Runs a router on random inputs and checks each effect. Returns the rules that were violated."""
    rng, settings = Random(seed), terms(**more)
    control, model, now = control_of(seed, settings), Model(settings), 1_000_000
    violations, pending, alarms = [], [], []  # pending: [when, effect, number, end]
    queue = [interface.CacheList(interface.REMEMBERED, FLEET)]
    number = 0
    done = set()  # answered, although the router may not know it yet
    while number < lookups or pending or any(not other["answered"] for other in model.lookups.values()):
        checked = []
        for event in queue:
            model.observe(now, event)
            checked += [(effect, model.violation(now, effect)) for effect in control.decide(now, [event])]
        for effect, violation in checked:
            if violation:
                violations.append(violation)
            if isinstance(effect, (interface.Ask, interface.Obtain)):
                slow = rng.random() < 0.2
                when = now + min(effect.timeout, rng.randrange(10, 200 * MS) if not slow else 9 * SECOND)
                pending.append([when, effect, len(model.lookups[effect.id]["sends"]) - 1, None])
            elif isinstance(effect, interface.Cancel):
                for row in pending:
                    if row[1].id == effect.id and row[2] == effect.send:
                        row[0], row[3] = now + 10, interface.CANCELLED
            elif isinstance(effect, interface.SetAlarm):
                alarms.append((now + effect.delay, effect.token))
        now += rng.randrange(20, 400)
        queue = [interface.Alarm(token) for when, token in alarms if when <= now]
        alarms = [alarm for alarm in alarms if alarm[0] > now]
        for row in [row for row in pending if row[0] <= now]:
            pending.remove(row)
            when, effect, n, end = row
            late = when >= effect.timeout + model.lookups[effect.id]["sends"][n]["at"]
            end = end or (
                interface.LATE
                if late
                else rng.choice(
                    (interface.SATISFIED,) * 8
                    + (
                        interface.ERRED,
                        interface.FULL,
                        interface.UNREACHED,
                        interface.BROKEN,
                        interface.MISSING,
                    )
                )
            )
            settled = model.lookups[effect.id]["answered"] or effect.id in done or end == interface.SATISFIED
            queue.append(
                interface.SendEnd(effect.id, n, end, rng.randrange(6), settled, 100, effect.cache, None)
            )
            if settled:
                done.add(effect.id)
        for entry in model.lookups.values():
            request = entry["lookup"]
            if not entry["answered"] and now > request.due + 600:
                violations.append("not answered in time")
                entry["answered"] = True
            elif not entry["answered"] and rng.random() < 0.002:
                queue.append(interface.ClientGone(request.id))
        if number < lookups:
            for _ in range(rng.randrange(4)):
                number += 1
                queue.append(
                    lookup(
                        number,
                        rng.choice(KINDS).name,
                        now + rng.randrange(4 * SECOND),
                        f"k{rng.randrange(30)}",
                        rng.randrange(5),
                        rng.randrange(4),
                        rng.choice((200, 2000)),
                    )
                )
            if rng.random() < 0.05:
                queue.append(interface.CacheList(interface.CHANGES, (random_change(rng, now),)))
            if rng.random() < 0.05:
                queue.append(
                    interface.Purged(
                        rng.randrange(500 * MS),
                        rng.randrange(4),
                        rng.choice((None, f"k{rng.randrange(30)}")),
                    )
                )
            if rng.random() < 0.005:  # restarted: it need not answer earlier lookups
                control, model, pending, alarms = control_of(number, settings), Model(settings), [], []
                queue = [interface.CacheList(interface.REMEMBERED, FLEET)]
    return violations


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("may_duplicate", (False, True))
def test_control_keeps_the_rules_of_the_model(seed, may_duplicate):
    assert play(seed, may_duplicate=may_duplicate) == []


class IgnoresRules(Control):
    """A router that ignores the rules, to show that the model detects it."""

    def __init__(self, *settings):
        super().__init__(*settings)
        self.rules.admissible = self.rules.nackable = self.cold.affords = lambda *arguments: True
        self.purges.max_age = lambda lookup: 0

    def decide(self, now, inputs):
        return super().decide(
            now,
            [
                e._replace(caches=tuple(cache._replace(phase=interface.READY) for cache in e.caches))
                if isinstance(e, interface.CacheList)
                else e
                for e in inputs
            ],
        )


def test_the_model_detects_a_router_that_ignores_the_rules():
    violations = {violation for seed in range(12) for violation in play(seed, IgnoresRules)}
    assert violations >= {
        "an effect twice",
        "nacked what may have run",
        "repeated outside the group",
        "sent to a drained cache",
        "an old copy allowed",
        "a cold cache pushed over",
    }
