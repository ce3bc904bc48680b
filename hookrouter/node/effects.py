"""What the module says, carried out: sends and answers, alarms, the router's own copies."""

from functools import partial

from .. import interface
from ..caches import Errand


def owed(router, effect):
    """The effect's lookup where it still lacks its answer."""
    lookup = router.lookups.get(effect.id)
    return None if lookup is None or lookup.ended else lookup


def ask(router, effect):
    send(router, effect)


def obtain(router, effect):
    send(
        router,
        effect,
        source=effect.source,
        rank=effect.priority,
        age=effect.max_age,
        join=effect.join_fill,
        held_only=effect.hits_only,
        unkept=effect.no_store,
        renew=effect.revalidate,
    )


def send(router, effect, **ways):
    lookup = owed(router, effect)
    if lookup is None:
        return  # only a fault of the module brings this here; nothing goes out after the answer
    asked, n = lookup.asked, lookup.sends
    lookup.sends += 1
    errand = Errand(
        asked.kind,
        asked.trace,
        asked.object,
        asked.part,
        asked.key,
        asked.seen,
        asked.body,
        effect.timeout,
        once=router.kinds[asked.kind].idempotency != interface.IDEMPOTENT,
        **ways,
    )
    began, source = router.now(), ways.get("source")
    if router.tally is not None:
        router.tally.sent(effect.cache, source)
    if router.heed is not None:
        router.heed.sent(effect.cache, asked.size)
    lookup.running[n] = None  # it is held from here on: its client may be found to have gone on the way
    out = lookup.running[n] = router.caches.send(
        effect.cache,
        errand,
        router.until(effect.timeout),
        router.until(effect.start_within),
        partial(router.wanted, lookup),
    )
    out.deferred.addCallback(sent, router, lookup, n, effect.cache, source, began)


def sent(ended, router, lookup, n, cache, source, began):
    del lookup.running[n]
    if router.tally is not None:
        router.tally.ended(cache, source, ended.end, router.now() - began)
    if router.heed is not None:
        router.heed.answered(ended.end, lookup.asked, router.now() - began)
    if router.purges is not None and ended.end == interface.SATISFIED:
        ended = router.purges.checked(ended, lookup.asked, began)
    router.counters.send_ended(ended.end)
    if ended.end == interface.SATISFIED and not lookup.ended:
        if ended.unchanged:
            router.answer(lookup, "satisfied", router.front.unchanged)
        else:
            router.answer(lookup, "satisfied", router.front.satisfied, ended.pieces, ended.length)
    else:
        router.let_go(lookup)
    copy = None
    if ended.made is not None and ended.end == interface.SATISFIED:
        copy = ended.made, ended.length
        router.brought[lookup.number, n] = lookup.asked, ended
    router.tell(
        interface.SendEnd(
            lookup.number,
            n,
            ended.end,
            ended.note,
            lookup.ended,
            router.now() - began,
            cache,
            ended.report,
            copy,
        )
    )
    router.withdraw(lookup)


def settle(router, lookup, end, answer, *values):
    """The final answer from here, and what is not written is taken back."""
    router.answer(lookup, end, answer, *values)
    router.withdraw(lookup)


def nack(router, effect):
    lookup = owed(router, effect)
    if lookup is not None:
        router.counters.given_up(effect.reason)
        settle(router, lookup, "nacked", router.front.nacked, effect.retry_after)


def fail(router, effect):
    lookup = owed(router, effect)
    if lookup is not None:
        router.counters.given_up(effect.reason)
        settle(router, lookup, "failed", router.front.failed)


def keep(router, effect):
    asked, ended = router.brought[effect.id, effect.send]
    router.copies[asked.kind, asked.object, asked.part] = ended.tag, ended.pieces, ended.length


def drop(router, effect):
    router.copies.pop((effect.kind, effect.object, effect.part), None)


def give(router, effect):
    lookup = owed(router, effect)
    if lookup is None:
        return
    router.count("copies_given")
    asked = lookup.asked
    tag, pieces, length = router.copies[asked.kind, asked.object, asked.part]
    if asked.seen == tag:
        settle(router, lookup, "satisfied", router.front.unchanged)
    else:
        settle(router, lookup, "satisfied", router.front.satisfied, pieces, length)


def cancel(router, effect):
    lookup = router.lookups.get(effect.id)
    if lookup is not None and effect.send in lookup.running:
        lookup.running[effect.send].give_up()


def set_alarm(router, effect):
    router.deadlines.after(router.until(effect.delay), router.tell, interface.Alarm(effect.token))


def subscribe(router, effect):
    """The feed is always followed; what was missed has come or comes by it."""
    router.tell(interface.CacheList(interface.CHANGES, ()))


def probe(router, effect):
    began = router.now()
    router.caches.probe(effect.cache).deferred.addCallback(
        lambda ended: router.tell(
            interface.ProbeEnd(ended.end, effect.cache, router.now() - began, ended.report)
        )
    )


def no_way(router, effect):
    router.log("the module wants what this protocol has no way for", type(effect).__name__)


def log(router, effect):
    router.log("module", effect.text)


EFFECTS = {
    interface.Ask: ask,
    interface.Obtain: obtain,
    interface.Nack: nack,
    interface.Fail: fail,
    interface.Keep: keep,
    interface.Drop: drop,
    interface.Give: give,
    interface.Cancel: cancel,
    interface.SetAlarm: set_alarm,
    interface.Subscribe: subscribe,
    interface.Probe: probe,
    interface.Tell: no_way,
    interface.Log: log,
}
