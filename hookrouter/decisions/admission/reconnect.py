"""How one comes back to a gateway: told nothing, by decorrelated jitter; told when, then.

Decorrelated jitter ("Exponential backoff and jitter", AWS Architecture Blog, 2015): each pause is drawn
between the shortest one and three times the last. Its cap grows with the fleet, so that all together knock at
a rate that a gateway answers in passing.
"""

MIN_PAUSE = 200  # 20 ms: the shortest pause
MIN_CAP = 4_000  # 0.4 s: the longest of a small fleet, as without admission
CAP_PER_FOLLOWER = (
    8  # 0.8 ms of the cap for each of the fleet: 1,250 knocks a second at a gateway, whatever the size
)
MAX_FLEET_SIZE = 100_000
MAX_WAIT = 36_000_000  # 1 h: a longer wait is not believed

UP, LOST, SCHEDULED, CONNECTING = "up", "lost", "told", "coming"
ENDED, DEFERRED, NO_ANSWER, ADMITTED, CONNECT = "ended", "tell", "nothing", "came", "go"
PAUSE, OBEY, KEEP, DROP = "pause", "obey", "keep", "drop"  # what is done
# state, input -> next state, effect
TABLE = {
    (UP, ENDED): (LOST, PAUSE),
    (LOST, CONNECT): (CONNECTING, KEEP),
    (SCHEDULED, CONNECT): (CONNECTING, KEEP),
    (CONNECTING, DEFERRED): (SCHEDULED, OBEY),
    (CONNECTING, NO_ANSWER): (LOST, PAUSE),  # dead, or the answer was lost: the ticket stays good
    (CONNECTING, ADMITTED): (UP, DROP),
}


class Reconnector:
    """dice: uniform(). state begins as one whose connection ended: a first start is a return too."""

    def __init__(self, rng, fleet_size=1):
        self.rng, self.fleet_size = rng, fleet_size
        self.state, self.ticket, self.pause, self.late = LOST, "", MIN_PAUSE, False

    def cap(self):
        return max(MIN_CAP, CAP_PER_FOLLOWER * self.fleet_size)

    def step(self, event, *arguments):
        """The pause until the next connection, or None. told, with TELL: wait, ticket, late, fleet;
        with CAME: fleet, where it was said.
        """
        step = TABLE.get((self.state, event))
        if step is None:
            return None
        self.state, effect = step
        return getattr(self, f"_{effect}")(*arguments)

    def _pause(self):
        # At least over the span of one knock each: all lose a gateway at one moment.
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
