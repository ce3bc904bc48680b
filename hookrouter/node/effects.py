"""What the module says, carried out: sends and answers, alarms, the router's own copies."""

from functools import partial

from .. import interface
from ..caches import CacheRequest


def unanswered_lookup(router, effect):
    """The effect's lookup where it still lacks its answer."""
    lookup = router.lookups.get(effect.id)
    return None if lookup is None or lookup.answered else lookup


def ask(router, effect):
    send(router, effect)


def obtain(router, effect):
    send(
        router,
        effect,
        source=effect.source,
        priority=effect.priority,
        max_age=effect.max_age,
        join_fill=effect.join_fill,
        hits_only=effect.hits_only,
        no_store=effect.no_store,
        revalidate=effect.revalidate,
    )


def send(router, effect, **options):
    lookup = unanswered_lookup(router, effect)
    if lookup is None:
        return  # only a fault of the module brings this here; nothing goes out after the answer
    request, send_number = lookup.request, lookup.send_count
    lookup.send_count += 1
    cache_request = CacheRequest(
        request.kind,
        request.trace,
        request.object,
        request.part,
        request.dedup_key,
        request.client_revision,
        request.body,
        effect.timeout,
        not_repeatable=router.kinds[request.kind].idempotency != interface.IDEMPOTENT,
        **options,
    )
    started_at, source = router.now(), options.get("source")
    if router.cache_loads is not None:
        router.cache_loads.send_started(effect.cache, source)
    if router.warming_observer is not None:
        router.warming_observer.on_send(effect.cache, request.size)
    lookup.active_sends[send_number] = (
        None  # it is held from here on: its client may be found to have gone on the way
    )
    active_send = lookup.active_sends[send_number] = router.caches.send(
        effect.cache,
        cache_request,
        router.seconds_until(effect.timeout),
        router.seconds_until(effect.start_within),
        partial(router.is_wanted, lookup),
    )
    active_send.deferred.addCallback(
        on_send_ended, router, lookup, send_number, effect.cache, source, started_at
    )


def on_send_ended(result, router, lookup, send_number, cache, source, started_at):
    del lookup.active_sends[send_number]
    if router.cache_loads is not None:
        router.cache_loads.send_ended(cache, source, result.outcome, router.now() - started_at)
    if router.warming_observer is not None:
        router.warming_observer.on_result(result.outcome, lookup.request, router.now() - started_at)
    if router.purges is not None and result.outcome == interface.SATISFIED:
        result = router.purges.judge_result(result, lookup.request, started_at)
    router.counters.send_ended(result.outcome)
    if result.outcome == interface.SATISFIED and not lookup.answered:
        if result.not_modified:
            router.answer(lookup, "satisfied", router.front.unchanged)
        else:
            router.answer(lookup, "satisfied", router.front.satisfied, result.pieces, result.length)
    else:
        router.release(lookup)
    copy = None
    if result.storable_issued_at is not None and result.outcome == interface.SATISFIED:
        copy = result.storable_issued_at, result.length
        router.storable_results[lookup.number, send_number] = lookup.request, result
    router.handle_event(
        interface.SendEnd(
            lookup.number,
            send_number,
            result.outcome,
            result.copy_status,
            lookup.answered,
            router.now() - started_at,
            cache,
            result.report,
            copy,
        )
    )
    router.cancel_unwritten_sends(lookup)


def answer_and_cancel(router, lookup, end, answer, *values):
    """The final answer from here, and what is not written is taken back."""
    router.answer(lookup, end, answer, *values)
    router.cancel_unwritten_sends(lookup)


def nack(router, effect):
    lookup = unanswered_lookup(router, effect)
    if lookup is not None:
        router.counters.lookup_given_up(effect.reason)
        answer_and_cancel(router, lookup, "nacked", router.front.nacked, effect.retry_after)


def fail(router, effect):
    lookup = unanswered_lookup(router, effect)
    if lookup is not None:
        router.counters.lookup_given_up(effect.reason)
        answer_and_cancel(router, lookup, "failed", router.front.failed)


def keep(router, effect):
    request, result = router.storable_results[effect.id, effect.send]
    router.copies[request.kind, request.object, request.part] = result.revision, result.pieces, result.length


def drop(router, effect):
    router.copies.pop((effect.kind, effect.object, effect.part), None)


def give(router, effect):
    lookup = unanswered_lookup(router, effect)
    if lookup is None:
        return
    router.count("copies_given")
    request = lookup.request
    revision, pieces, length = router.copies[request.kind, request.object, request.part]
    if request.client_revision == revision:
        answer_and_cancel(router, lookup, "satisfied", router.front.unchanged)
    else:
        answer_and_cancel(router, lookup, "satisfied", router.front.satisfied, pieces, length)


def cancel(router, effect):
    lookup = router.lookups.get(effect.id)
    if lookup is not None and effect.send in lookup.active_sends:
        lookup.active_sends[effect.send].cancel()


def set_alarm(router, effect):
    router.deadlines.after(
        router.seconds_until(effect.delay), router.handle_event, interface.Alarm(effect.token)
    )


def subscribe(router, effect):
    """The feed is always followed; what was missed has come or comes by it."""
    router.handle_event(interface.CacheList(interface.CHANGES, ()))


def probe(router, effect):
    started_at = router.now()
    router.caches.probe(effect.cache).deferred.addCallback(
        lambda result: router.handle_event(
            interface.ProbeEnd(result.outcome, effect.cache, router.now() - started_at, result.report)
        )
    )


def unsupported(router, effect):
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
    interface.Tell: unsupported,
    interface.Log: log,
}
