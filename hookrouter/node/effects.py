"""Executes the effects of Control: sends, answers, alarms and the router's own copies."""

from functools import partial

from .. import interface
from ..caches import CacheRequest
from .held_copy import HeldCopy


def unanswered_lookup(router, effect):
    """The lookup of an effect, or None if it is unknown or already answered."""
    lookup = router.lookups.get(effect.id)
    return None if lookup is None or lookup.answered else lookup


def has_effect(router, lookup):
    """Whether running the lookup twice would have an effect twice."""
    return router.kinds[lookup.request.kind].idempotency != interface.IDEMPOTENT


def ask(router, effect):
    """Starts a send that the cache answers from what it holds."""
    send(router, effect)


def obtain(router, effect):
    """Starts a send that states the source of a fill and how the copy is handled."""
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
    """Starts a send; options are further fields of CacheRequest. Does nothing once the lookup is answered."""
    lookup = unanswered_lookup(router, effect)
    if lookup is None:
        return  # only a fault in Control leads here: nothing is sent after the answer
    request, send_number = lookup.request, lookup.send_count
    lookup.send_count += 1
    if send_number:
        router.log("lookup sent again", cache=effect.cache, id=request.trace, sends=lookup.send_count)
    cache_request = CacheRequest(
        request.kind,
        request.trace,
        request.object,
        request.part,
        request.dedup_key,
        request.client_revision,
        request.body,
        effect.timeout,
        not_repeatable=has_effect(router, lookup),
        **options,
    )
    started_at, source = router.now(), options.get("source")
    if router.cache_loads is not None:
        router.cache_loads.send_started(effect.cache, source)
    if router.warming_observer is not None:
        router.warming_observer.on_send(effect.cache, request.size)
    # Registered first: the client may be found gone while the send starts.
    lookup.active_sends[send_number] = None
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
    """Answers the lookup if the send succeeded, and reports the end of the send to Control."""
    del lookup.active_sends[send_number]
    if router.cache_loads is not None:
        router.cache_loads.send_ended(cache, source, result.outcome, router.now() - started_at)
    if router.warming_observer is not None:
        router.warming_observer.on_result(result.outcome, lookup.request, router.now() - started_at)
    result = router.unix_times.result(result)
    if router.purges is not None and result.outcome == interface.SATISFIED:
        result = router.purges.judge_result(result, lookup.request, started_at)
    router.counters.send_ended(result.outcome)
    if result.outcome not in interface.NEVER_RAN and has_effect(router, lookup):
        router.effect_ids.add(lookup.request.trace, router.now())
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
    """Writes the final answer of a lookup and cancels its sends that are not written yet."""
    router.answer(lookup, end, answer, *values)
    router.cancel_unwritten_sends(lookup)


def note_given_up(router, lookup, event, reason):
    """Logs and counts why Control gave up a lookup."""
    router.counters.lookup_given_up(reason)
    router.log(event, reason=reason or "none", id=lookup.request.trace, sends=lookup.send_count)


def nack(router, effect):
    """Rejects a lookup that the client may retry."""
    lookup = unanswered_lookup(router, effect)
    if lookup is not None:
        note_given_up(router, lookup, "lookup nacked", effect.reason)
        answer_and_cancel(router, lookup, "nacked", router.front.nacked, effect.retry_after)


def fail(router, effect):
    """Fails a lookup that must not be retried."""
    lookup = unanswered_lookup(router, effect)
    if lookup is not None:
        note_given_up(router, lookup, "lookup failed", effect.reason)
        answer_and_cancel(router, lookup, "failed", router.front.failed)


def hold_copy(router, effect):
    """Holds the body of a successful send until it is known whether the response was whole."""
    request, result = router.storable_results[effect.id, effect.send]
    held = router.held_copies[effect.id, effect.send] = HeldCopy(router, effect, request, result)
    result.tail.watch(held)


def keep(router, effect):
    """Stores a held body as an own copy."""
    held = router.held_copies[effect.id, effect.send]
    router.copies[held.key] = held.copy


def drop(router, effect):
    """Removes an own copy if there is one."""
    router.copies.pop((effect.kind, effect.object, effect.part), None)


def give(router, effect):
    """Answers a lookup from an own copy, or says that the client's copy is current."""
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
    """Cancels a running send."""
    lookup = router.lookups.get(effect.id)
    if lookup is not None and effect.send in lookup.active_sends:
        lookup.active_sends[effect.send].cancel()


def set_alarm(router, effect):
    """Schedules an Alarm input."""
    router.deadlines.after(router.seconds_until(effect.delay), on_alarm, router, effect.token)


def on_alarm(router, token):
    """Passes an alarm to Control, unless its lookup has ended: at a shutdown thousands are due at once."""
    if not router.control.drop_alarm_of_ended(token):
        router.handle_event(interface.Alarm(token))


def subscribe(router, effect):
    """Answers with an empty change: the feed is followed all the time, so nothing has to be requested."""
    router.handle_event(interface.CacheList(interface.CHANGES, ()))


def probe(router, effect):
    """Sends a probe; its end is reported to Control."""
    started_at = router.now()
    router.caches.probe(effect.cache).deferred.addCallback(
        lambda result: router.handle_event(
            interface.ProbeEnd(result.outcome, effect.cache, router.now() - started_at, result.report)
        )
    )


def unsupported(router, effect):
    """Logs an effect that this protocol has no message for."""
    router.log("the module wants what this protocol has no way for", type(effect).__name__)


def log(router, effect):
    """Writes a log line for Control."""
    router.log("module", effect.text)


EFFECTS = {
    interface.Ask: ask,
    interface.Obtain: obtain,
    interface.Nack: nack,
    interface.Fail: fail,
    interface.HoldCopy: hold_copy,
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
