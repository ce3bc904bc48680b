"""Commands to the fleet's log, one after the other, each asked until it is answered or its duty is lost."""

from collections import deque

from twisted.internet.defer import Deferred

from ...decisions.owners import protocol
from ...errors.wire import DutyLost

ASK_AGAIN = 0.3  # seconds until a command without an answer is asked again
MOST_WAITING = 1_000


class Asker:
    """A stream of commands of its own: the log remembers the last key of each."""

    def __init__(self, reactor, who, tell):
        """who: NAME#LIFE.STREAM; tell(message): to the leader as far as it is known."""
        self.reactor, self.who, self.tell = reactor, who, tell
        self.count, self.waiting, self.stopped = 0, deque(), False  # (Ask, its Deferred)

    def ask(self, command, fields):
        """A Deferred of the result, a list."""
        self.count += 1
        done = Deferred()
        if self.stopped or len(self.waiting) >= MOST_WAITING:
            done.errback(DutyLost("the duty is another's now"))
            return done
        self.waiting.append((protocol.CommandRequest(f"{self.who}/{self.count}", command, fields), done))
        if len(self.waiting) == 1:
            self._again(self.waiting[0])
        return done

    def _again(self, row):
        if self.waiting and self.waiting[0] is row:
            self.tell(row[0])
            self.reactor.callLater(ASK_AGAIN, self._again, row)

    def answered(self, answer):
        """Whether it was this stream's."""
        if not self.waiting or self.waiting[0][0].key != answer.key or answer.result is None:
            return False
        _, done = self.waiting.popleft()
        if self.waiting:
            self._again(self.waiting[0])
        done.callback(answer.result)
        return True

    def moved(self):
        """Another leads: what waits is asked there at once."""
        if self.waiting:
            self.tell(self.waiting[0][0])

    def drop(self):
        """What waits ends now."""
        waiting, self.waiting = self.waiting, deque()
        for _, done in waiting:
            done.errback(DutyLost("the duty is another's now"))

    def stop(self):
        self.stopped = True
        self.drop()
