"""How one comes back to a gateway: told nothing, by decorrelated jitter; told when, then.

Decorrelated jitter ("Exponential backoff and jitter", AWS Architecture Blog, 2015): each pause is drawn
between the shortest one and three times the last. Its cap grows with the fleet, so that all together knock at
a rate that a gateway answers in passing.
"""

BASE = 200  # 20 ms: the shortest pause
CAP = 4_000  # 0.4 s: the longest of a small fleet, as without admission
EACH = 8  # 0.8 ms of the cap for each of the fleet: 1,250 knocks a second at a gateway, whatever the size
MOST_FLEET = 100_000
MOST_WAIT = 36_000_000  # 1 h: a longer wait is not believed

UP, LOST, TOLD, COMING = "up", "lost", "told", "coming"
ENDED, TELL, NOTHING, CAME, GO = "ended", "tell", "nothing", "came", "go"
PAUSE, OBEY, KEEP, DROP = "pause", "obey", "keep", "drop"  # what is done
# state, input -> next state, effect
TABLE = {
    (UP, ENDED): (LOST, PAUSE),
    (LOST, GO): (COMING, KEEP),
    (TOLD, GO): (COMING, KEEP),
    (COMING, TELL): (TOLD, OBEY),
    (COMING, NOTHING): (LOST, PAUSE),  # dead, or the answer was lost: the ticket stays good
    (COMING, CAME): (UP, DROP),
}


class Comer:
    """dice: uniform(). state begins as one whose connection ended: a first start is a return too."""

    def __init__(self, dice, fleet=1):
        self.dice, self.fleet = dice, fleet
        self.state, self.ticket, self.pause, self.late = LOST, "", BASE, False

    def cap(self):
        return max(CAP, EACH * self.fleet)

    def step(self, word, *told):
        """The pause until the next connection, or None. told, with TELL: wait, ticket, late, fleet;
        with CAME: fleet, where it was said.
        """
        step = TABLE.get((self.state, word))
        if step is None:
            return None
        self.state, effect = step
        return getattr(self, f"_{effect}")(*told)

    def _pause(self):
        # At least over the span of one knock each: all lose a gateway at one moment.
        most = max(3 * self.pause, EACH * self.fleet)
        self.pause = int(self.dice.uniform(BASE, min(self.cap(), most)))
        return self.pause

    def _obey(self, wait, ticket, late, fleet):
        self.ticket, self.late = ticket or self.ticket, late
        self.fleet = min(max(fleet, 1), MOST_FLEET)
        self.pause = BASE
        return min(max(0, wait), MOST_WAIT)

    def _keep(self):
        return None

    def _drop(self, fleet=0):
        self.fleet = min(fleet, MOST_FLEET) or self.fleet
        self.ticket, self.pause, self.late = "", BASE, False
        return None
