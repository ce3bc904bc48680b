"""Updates windows, health, answer times and the retry budget from the ends of sends; detects lost answers."""

from .. import interface
from .health import BAD, GOOD
from .times import SMOOTHING

HIT_GROWTH = 0.5  # relative to a fill: hits are frequent and show at best that the location is not overloaded
LOSS_THRESHOLD = 2.0  # nats in favour of lost answers over overload: odds of seven to one
MAX_LOSS_EVIDENCE = 4.0  # nats either way, so that a change shows within a few sends
# Share of unanswered fills beyond which upstream may be down; only other sends count then.
MAX_SILENT_FILLS = 0.25
DEAD_AFTER = 20_000  # 2 s without any answer: under overload hits and refusals still arrive
# Retries earned by each satisfied send: where nothing succeeds, nothing is repeated.
RETRY_BUDGET_RATIO = 0.05
MAX_RETRY_BUDGET = 10.0  # about as many retries as a crashed cache costs before it is set aside

SILENT, SLOW, PROMPT = "silent", "tardy", "prompt"

# (observation, whether a fill) -> nats: log odds of lost answers against overload (docs/results/loss.md).
LOG_ODDS = {
    (SILENT, True): 0.3,  # under loss nearly all missed budgets of fills, under overload three in four
    (SILENT, False): 3.0,  # one in twenty against one in a thousand
    (SLOW, True): -2.5,  # under one missed budget in fifty against one in four
    (SLOW, False): -2.5,
    (PROMPT, True): 0.0,  # hits are as likely in both cases
    (PROMPT, False): -0.05,
}


class Learning:
    """Evaluates each end of a send and each latency budget that passes without an answer."""

    def __init__(self, control, terms):
        self.control, self.times, self.windows = control, control.times, control.windows
        self.answered_late = control.add_column(False)  # whether the last answer was late
        # Factor on the window growth of the CoBlitz paper: chance steps of n routers add up like sqrt(n).
        self.growth = terms.topology.zone_routers**-0.5
        self.retry_budget, self.loss_evidence = MAX_RETRY_BUDGET, 0.0  # in sends; in nats
        self.silent_share, self.last_silent_upstream = 0.0, None  # of fills; row

    def check_budgets(self):
        """Counts sends whose latency budget has passed: overload shows before these sends end."""
        for send in self.control.sends_over_budget():
            if self.control.now - send.sent_at >= int(self.times.budget(send)):
                self._count_miss(send)

    def on_send_end(self, send, end):
        """Evaluates the end of a send; send: PendingSend, end: interface.SendEnd."""
        control, windows, outcome, is_fill = (
            self.control,
            self.windows,
            end.outcome,
            send.upstream is not None,
        )
        if outcome not in (
            interface.UNREACHED,
            interface.BROKEN,
            interface.LATE,
            interface.CANCELLED,
            interface.VOID,
        ):
            control.health.record_answer(send.target)
            if control.cold.presumed_dead[send.target]:
                control.cold.start(send.target, control.now)
        # Silent: nothing arrived from there since the send was made.
        target_silent, source_silent = (
            row is not None and control.last_answer_at[row] < send.sent_at
            for row in (send.target, send.source)
        )
        if outcome == interface.FULL and is_fill:
            windows.adjust(send.upstream, True)
            windows.adjust_gate(True)
        self._weigh_loss(send, end, target_silent, is_fill)
        answers_lost = outcome == interface.LATE and self.answers_lost()
        if outcome == interface.LATE and not target_silent:
            self._count_miss(send)
        if outcome == interface.SATISFIED:
            return self._satisfied(send, end, is_fill)
        if outcome == interface.LATE and send.early_timeout and not answers_lost:  # back off
            self.times.record_latency(send.kind_index, 2 * end.duration - send.sending_time)
        if outcome == interface.MISSING:
            control.health.record(send.target, GOOD)  # it answers, although it lacks the object
        # Target and source are both blamed; later successes clear the one not at fault. Timeouts while the
        # cache answers other sends indicate overload.
        failed = outcome in (interface.ERRED, interface.UNREACHED, interface.BROKEN) or (
            outcome == interface.LATE and target_silent
        )
        if failed or (outcome == interface.FULL and not is_fill):
            control.health.record(send.target, BAD)
        # It may have restarted, which the list reports seconds late: once it answers, it counts as cold.
        silent = (
            control.now - control.last_answer_at[send.target] > DEAD_AFTER
            and control.health.slow_start_limit[send.target] is not None
        )
        if silent and outcome in (interface.UNREACHED, interface.BROKEN, interface.LATE):
            control.cold.presumed_dead[send.target] = True
        waited = (
            outcome == interface.LATE and not answers_lost and (source_silent or not windows.hits_reported)
        )
        if is_fill and not windows.overloaded() and (waited or outcome in (interface.ERRED, interface.FULL)):
            control.health.record(send.source, BAD)

    def _satisfied(self, send, end, is_fill):
        times, kind_index, late = self.times, send.kind_index, end.duration > self.times.budget(send)
        reported_hit = end.copy_status in (interface.FOUND, interface.AGED)
        # A hit says little about the source. Where hits are not reported, a quick answer is taken for one.
        hit = (
            reported_hit
            if self.windows.hits_reported
            else end.duration - send.sending_time < times.average[kind_index]
        )
        if is_fill and not send.over_budget and not (late and self.control.health.delayed_by_stall(send)):
            self.windows.adjust(send.upstream, late, self.growth * (HIT_GROWTH if hit else 1))
            if late or not hit:
                self.windows.adjust_gate(late)
        if not is_fill or reported_hit or not self.windows.hits_reported:
            self.windows.adjust(send.target, late)
        self.answered_late[send.target] = late
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_RATIO)
        times.record_latency(kind_index, max(0.0, end.duration - send.sending_time))
        # Without a known size only answers of idle caches count: others include waiting for other sends.
        if send.sending_time or (send.target_idle and (not is_fill or reported_hit)):
            times.record_work(kind_index, send.sending_time or end.duration)
        self.control.health.record(send.target, GOOD)
        if is_fill and (
            not self.windows.hits_reported
            or end.copy_status in (interface.FILLED, interface.FROM_ORIGIN, interface.JOINED)
        ):
            self.control.health.record(send.source, GOOD)
            self.control.health.record_answer(send.source)

    def _weigh_loss(self, send, end, target_silent, is_fill):
        """Wald's sequential test (1945) of lost answers against overload, in which answers are late before
        they are missing.
        """
        silent = end.outcome == interface.LATE
        if is_fill and not target_silent and end.outcome in (interface.SATISFIED, interface.LATE):
            self.silent_share += SMOOTHING * (silent - self.silent_share)
        if silent and (
            target_silent
            or (
                is_fill
                and (send.upstream == self.last_silent_upstream or self.silent_share > MAX_SILENT_FILLS)
            )
        ):
            return  # a dead cache or source says nothing about losses elsewhere
        if silent and is_fill:
            self.last_silent_upstream = send.upstream
        late = end.outcome == interface.SATISFIED and end.duration > self.times.budget(send)
        observation = (
            SILENT if silent else SLOW if late or (is_fill and end.outcome == interface.FULL) else PROMPT
        )
        if silent or end.outcome in (interface.SATISFIED, interface.MISSING) or observation == SLOW:
            self.loss_evidence = min(
                MAX_LOSS_EVIDENCE,
                max(-MAX_LOSS_EVIDENCE, self.loss_evidence + LOG_ODDS[observation, is_fill]),
            )

    def answers_lost(self):
        """Whether answers are being lost on the way, rather than late because of overload."""
        return self.loss_evidence >= LOSS_THRESHOLD

    def _count_miss(self, send):
        """Counts a missed budget, once per send: when it passes or when the send ends."""
        # A stall of the cache says nothing about its source or link.
        if send.over_budget or self.control.health.delayed_by_stall(send):
            return
        send.over_budget, is_fill = True, send.upstream is not None
        overloaded = self.windows.overloaded() and not self.answers_lost()
        if is_fill and not self.answers_lost():
            self.windows.adjust(send.upstream, True)
            self.windows.adjust_gate(True)
        # A send unanswered at a cache that answers others in time is lost or waits for its source.
        if (overloaded or self.answered_late[send.target]) and (
            not is_fill or not self.windows.hits_reported
        ):
            self.windows.adjust(send.target, True)
