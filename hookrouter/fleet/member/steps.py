"""Drill duties: steps done at a register that audits them, one line of JSON each. What a duty's work looks
like.

The act is made from the warrant right before its bytes go; should this process stand still behind that, the
register refuses the act by its number.
"""

import json

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

PACE = 0.05  # seconds between steps
AGAIN = 0.3  # seconds until a register that is not there is called again
CONNECT_WITHIN = 1.0


class Line(LineReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 4_096

    def __init__(self, steps):
        self.steps = steps

    def connectionMade(self):
        self.steps.line = self
        self.steps.connecting = False
        self.steps.go()

    def lineReceived(self, line):
        try:
            told = json.loads(line)
            self.steps.told(told["duty"], told["number"], bool(told["ok"]), int(told["step"]))
        except (ValueError, KeyError, TypeError):
            self.transport.abortConnection()

    def connectionLost(self, reason):
        if self.steps.line is self:
            self.steps.line = None
        self.steps.again()


class Steps:
    def __init__(self, reactor, address, done, log):
        self.reactor, self.address, self.done, self.log = reactor, address, done, log
        self.work_on, self.line, self.connecting, self.stopped = (
            {},
            None,
            False,
            False,
        )  # duty -> (warrant, clock)
        self.connect()

    def connect(self):
        if self.stopped or self.connecting or self.line is not None:
            return
        self.connecting = True
        factory = Factory.forProtocol(lambda: Line(self))
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, *self.address, CONNECT_WITHIN).connect(factory).addErrback(
            self._failed
        )

    def _failed(self, failure):
        self.connecting = False
        self.again()

    def again(self):
        if not self.stopped:
            self.reactor.callLater(AGAIN, self.connect)

    def work(self, warrant, clock):
        self.work_on[warrant.duty] = warrant, clock
        self.act(warrant.duty, warrant.fencing_token, 0)

    def go(self):
        """A new line: each duty asks where it stands."""
        for duty, (warrant, _) in list(self.work_on.items()):
            self.act(duty, warrant.fencing_token, 0)

    def act(self, duty, number, step):
        """step 0 asks how far the register is; it does nothing."""
        row = self.work_on.get(duty)
        if row is None or row[0].fencing_token != number or self.line is None or self.stopped:
            return
        act = row[0].authorize(row[1](), step)
        if act is None:
            del self.work_on[duty]
            return
        self.line.sendLine(
            json.dumps({"duty": act.duty, "number": act.fencing_token, "step": act.action}).encode()
        )

    def told(self, duty, number, ok, step):
        row = self.work_on.get(duty)
        if row is None or row[0].fencing_token != number:
            return
        if not ok:
            self.log("an old number was refused", duty=duty, number=number, level="warn")
            del self.work_on[duty]
            return
        if step:
            self.done(duty, number, step)
        self.reactor.callLater(PACE, self.act, duty, number, step + 1)

    def stop(self):
        self.stopped = True
        if self.line is not None:
            self.line.transport.abortConnection()
