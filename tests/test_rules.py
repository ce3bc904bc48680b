"""The plain model of the five rules beside the module, on generated inputs."""

from random import Random

import pytest
from fleet import FLEET, KINDS, MS, SECOND, Model, lookup, terms

from hookrouter import interface
from hookrouter.control import Control


def made_up_change(dice, now):
    c = dice.choice(FLEET)
    phase = dice.choice((interface.READY, interface.READY, interface.DRAINING, interface.GONE))
    born = now - dice.randrange(3 * SECOND) if dice.random() < 0.5 else c.born
    return c._replace(phase=phase, born=born)


def play(seed, control_of=Control, lookups=400, **more):
    """One made-up day: what the module did, checked effect by effect. Returns the rules broken."""
    dice, stated = Random(seed), terms(**more)
    control, model, now = control_of(seed, stated), Model(stated), 1_000_000
    broken, pending, alarms = [], [], []  # pending: (when, id, number, effect)
    queue = [interface.CacheList(interface.REMEMBERED, FLEET)]
    number = 0
    done = set()  # answered, though the router may not know it yet
    while number < lookups or pending or any(not h["answered"] for h in model.lookups.values()):
        shown = []
        for event in queue:
            model.told(now, event)
            shown += [(effect, model.shown(now, effect)) for effect in control.decide(now, [event])]
        for effect, wrong in shown:
            if wrong:
                broken.append(wrong)
            if isinstance(effect, (interface.Ask, interface.Obtain)):
                slow = dice.random() < 0.2
                at = now + min(effect.timeout, dice.randrange(10, 200 * MS) if not slow else 9 * SECOND)
                pending.append([at, effect, len(model.lookups[effect.id]["sends"]) - 1, None])
            elif isinstance(effect, interface.Cancel):
                for row in pending:
                    if row[1].id == effect.id and row[2] == effect.send:
                        row[0], row[3] = now + 10, interface.CANCELLED
            elif isinstance(effect, interface.SetAlarm):
                alarms.append((now + effect.delay, effect.token))
        now += dice.randrange(20, 400)
        queue = [interface.Alarm(token) for at, token in alarms if at <= now]
        alarms = [a for a in alarms if a[0] > now]
        for row in [row for row in pending if row[0] <= now]:
            pending.remove(row)
            at, effect, n, end = row
            late = at >= effect.timeout + model.lookups[effect.id]["sends"][n]["at"]
            end = end or (
                interface.LATE
                if late
                else dice.choice(
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
                interface.SendEnd(effect.id, n, end, dice.randrange(6), settled, 100, effect.cache, None)
            )
            if settled:
                done.add(effect.id)
        for held in model.lookups.values():
            lk = held["lookup"]
            if not held["answered"] and now > lk.due + 600:
                broken.append("not answered in time")
                held["answered"] = True
            elif not held["answered"] and dice.random() < 0.002:
                queue.append(interface.ClientGone(lk.id))
        if number < lookups:
            for _ in range(dice.randrange(4)):
                number += 1
                queue.append(
                    lookup(
                        number,
                        dice.choice(KINDS).name,
                        now + dice.randrange(4 * SECOND),
                        f"k{dice.randrange(30)}",
                        dice.randrange(5),
                        dice.randrange(4),
                        dice.choice((200, 2000)),
                    )
                )
            if dice.random() < 0.05:
                queue.append(interface.CacheList(interface.CHANGES, (made_up_change(dice, now),)))
            if dice.random() < 0.05:
                queue.append(
                    interface.Purged(
                        dice.randrange(500 * MS),
                        dice.randrange(4),
                        dice.choice((None, f"k{dice.randrange(30)}")),
                    )
                )
            if dice.random() < 0.005:  # killed and started anew: what it held is no longer its duty
                control, model, pending, alarms = control_of(number, stated), Model(stated), [], []
                queue = [interface.CacheList(interface.REMEMBERED, FLEET)]
    return broken


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("pairs", (False, True))
def test_the_module_keeps_the_rules_of_the_model(seed, pairs):
    assert play(seed, may_duplicate=pairs) == []


class Reckless(Control):
    """A module without guards, so that the model is seen to fail."""

    def __init__(self, *stated):
        super().__init__(*stated)
        self.rules.admissible = self.rules.nackable = self.cold.affords = lambda *asked: True
        self.purges.max_age = lambda lookup: 0

    def decide(self, now, inputs):
        return super().decide(
            now,
            [
                e._replace(caches=tuple(c._replace(phase=interface.READY) for c in e.caches))
                if isinstance(e, interface.CacheList)
                else e
                for e in inputs
            ],
        )


def test_the_model_fails_a_module_without_guards():
    broken = {wrong for seed in range(12) for wrong in play(seed, Reckless)}
    assert broken >= {
        "an effect twice",
        "nacked what may have run",
        "repeated outside the group",
        "sent to a drained cache",
        "an old copy allowed",
        "a cold cache pushed over",
    }
