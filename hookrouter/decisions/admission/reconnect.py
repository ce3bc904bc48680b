"""How a follower reconnects to a gateway: after the wait that the gateway set, or with decorrelated jitter.

Decorrelated jitter ("Exponential backoff and jitter", AWS Architecture Blog, 2015) draws each pause between
the shortest one and three times the last one. The cap of a pause grows with the fleet, so that the rate of
all attempts together stays cheap for a gateway to answer. Times are tenths of a millisecond.
"""

MIN_PAUSE = 200  # 20 ms: the shortest pause
MIN_CAP = 4_000  # 0.4 s: the cap of a small fleet, as without admission control
# 0.8 ms of cap per follower limits a gateway to 1,250 attempts a second, whatever the size of the fleet.
CAP_PER_FOLLOWER = 8
MAX_FLEET_SIZE = 100_000
MAX_WAIT = 36_000_000  # 1 h: a longer wait is cut to this

UP, LOST, SCHEDULED, CONNECTING = "up", "lost", "told", "coming"
ENDED, DEFERRED, NO_ANSWER, ADMITTED, CONNECT = "ended", "tell", "nothing", "came", "go"
PAUSE, OBEY, KEEP, DROP = "pause", "obey", "keep", "drop"  # actions
# (state, event) -> (next state, action)
TABLE = {
    (UP, ENDED): (LOST, PAUSE),
    (LOST, CONNECT): (CONNECTING, KEEP),
    (SCHEDULED, CONNECT): (CONNECTING, KEEP),
    (CONNECTING, DEFERRED): (SCHEDULED, OBEY),
    # the gateway is down or its answer was lost: the ticket stays valid
    (CONNECTING, NO_ANSWER): (LOST, PAUSE),
    (CONNECTING, ADMITTED): (UP, DROP),
}


class Reconnector:
    """The reconnection state of one follower, with its ticket. A first start counts as a reconnection.

    rng: a source of random numbers with uniform(). fleet_size: followers of the gateway, as far as known.
    """

    def __init__(self, rng, fleet_size=1):
        self.rng, self.fleet_size = rng, fleet_size
        self.state, self.ticket, self.pause, self.late = LOST, "", MIN_PAUSE, False

    def cap(self):
        """Returns the longest pause, which grows with the fleet."""
        return max(MIN_CAP, CAP_PER_FOLLOWER * self.fleet_size)

    def step(self, event, *arguments):
        """Returns the pause until the next connection attempt, or None. The arguments of DEFERRED are wait,
        ticket, late and fleet size; ADMITTED takes the fleet size where the gateway told it.
        """
        step = TABLE.get((self.state, event))
        if step is None:
            return None
        self.state, effect = step
        return getattr(self, f"_{effect}")(*arguments)

    def _pause(self):
        # The first pause is drawn over the time of one attempt per follower, since all lose a gateway at
        # once.
        upper_bound = max(3 * self.pause, CAP_PER_FOLLOWER * self.fleet_size)
        self.pause = int(self.rng.uniform(MIN_PAUSE, min(self.cap(), upper_bound)))
        return self.pause

    def _obey(self, wait, ticket, late, fleet_size):
        self.ticket, self.late = ticket or self.ticket, late
        self.fleet_size = min(max(fleet_size, 1), MAX_FLEET_SIZE)
        self.pause = MIN_PAUSE
        return min(max(0, wait), MAX_WAIT)

    def _keep(self):
        return None

    def _drop(self, fleet_size=0):
        self.fleet_size = min(fleet_size, MAX_FLEET_SIZE) or self.fleet_size
        self.ticket, self.pause, self.late = "", MIN_PAUSE, False
        return None
