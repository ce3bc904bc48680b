"""Drill duties, for tests of ownership: numbered steps sent to a register that audits them, as JSON lines.

Each step is authorized by the lease right before it is sent. If the process is paused after that, the
register rejects the step by its fencing token.
"""

import json

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

STEP_INTERVAL = 0.05  # seconds between steps
RECONNECT_DELAY = 0.3  # seconds between attempts to connect to the register
CONNECT_TIMEOUT = 1.0


class RegisterConnection(LineReceiver):
    """The connection to the register."""

    delimiter = b"\n"
    MAX_LENGTH = 4_096

    def __init__(self, worker):
        self.worker = worker

    def connectionMade(self):
        self.worker.connection = self
        self.worker.connecting = False
        self.worker.resume()

    def lineReceived(self, line):
        try:
            answer = json.loads(line)
            self.worker.on_answer(answer["duty"], answer["number"], bool(answer["ok"]), int(answer["step"]))
        except (ValueError, KeyError, TypeError):
            self.transport.abortConnection()

    def connectionLost(self, reason):
        if self.worker.connection is self:
            self.worker.connection = None
        self.worker.reconnect_later()


class DrillWorker:
    """Performs the steps of all drill duties of this member over one connection."""

    def __init__(self, reactor, address, on_step_done, log):
        self.reactor, self.address, self.on_step_done, self.log = reactor, address, on_step_done, log
        # duties: duty -> (lease, clock)
        self.duties, self.connection, self.connecting, self.stopped = {}, None, False, False
        self.connect()

    def connect(self):
        """Connects to the register unless connected or stopped."""
        if self.stopped or self.connecting or self.connection is not None:
            return
        self.connecting = True
        factory = Factory.forProtocol(lambda: RegisterConnection(self))
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, *self.address, CONNECT_TIMEOUT).connect(factory).addErrback(
            self._failed
        )

    def _failed(self, failure):
        self.connecting = False
        self.reconnect_later()

    def reconnect_later(self):
        """Schedules another attempt to connect."""
        if not self.stopped:
            self.reactor.callLater(RECONNECT_DELAY, self.connect)

    def start_duty(self, lease, clock):
        """Starts the steps of a duty; clock(): the time that the lease is checked against."""
        self.duties[lease.duty] = lease, clock
        self.send_step(lease.duty, lease.fencing_token, 0)

    def resume(self):
        """Asks the register for the last step of each duty, on a new connection."""
        for duty, (lease, _) in list(self.duties.items()):
            self.send_step(duty, lease.fencing_token, 0)

    def send_step(self, duty, fencing_token, step):
        """Sends a step; step 0 only asks for the last one."""
        entry = self.duties.get(duty)
        if (
            entry is None
            or entry[0].fencing_token != fencing_token
            or self.connection is None
            or self.stopped
        ):
            return
        fenced = entry[0].authorize(entry[1](), step)
        if fenced is None:
            del self.duties[duty]
            return
        self.connection.sendLine(
            json.dumps({"duty": fenced.duty, "number": fenced.fencing_token, "step": fenced.action}).encode()
        )

    def on_answer(self, duty, fencing_token, ok, step):
        """Handles the register's answer and schedules the next step."""
        entry = self.duties.get(duty)
        if entry is None or entry[0].fencing_token != fencing_token:
            return
        if not ok:
            self.log("an old number was refused", duty=duty, number=fencing_token, level="warn")
            del self.duties[duty]
            return
        if step:
            self.on_step_done(duty, fencing_token, step)
        self.reactor.callLater(STEP_INTERVAL, self.send_step, duty, fencing_token, step + 1)

    def stop(self):
        """Closes the connection."""
        self.stopped = True
        if self.connection is not None:
            self.connection.transport.abortConnection()
