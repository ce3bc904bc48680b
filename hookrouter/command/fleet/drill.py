"""The drill behind fleet drill: injects a fault at a local keeper and prints what the others report."""

import os
import signal
import time

from .. import DONE, FAILED

POLL_INTERVAL = 0.2  # seconds between polls of the keepers
SECONDS_BEFORE = 1.0  # of polling before the fault
SECONDS_AFTER = 5.0  # of polling after the end of the fault, at least


class DrillMonitor:
    """Tracks the state of the fleet and prints a line for each change."""

    def __init__(self, keepers):
        self.keepers, self.started_at, self.owned = keepers, time.monotonic(), {}
        self.last_answer_at, self.pids, self.reported = {}, {}, {}

    def report(self, text):
        """Prints a line with the time since the start."""
        print(f"{time.monotonic() - self.started_at:6.1f} s  {text}", flush=True)

    def report_change(self, what, value):
        """Prints the value if it has changed."""
        if self.reported.get(what) != value:
            self.reported[what] = value
            self.report(f"{what}: {value}")

    def on_answer(self, name, answer):
        """Takes a keeper's status or its view of the members."""
        now = time.monotonic()
        self.last_answer_at[name] = now
        if "pid" in answer:
            self.pids[name] = answer["pid"]
            states = {}
            for row in answer["members"]:
                states[row[0]] = row[7] if states.get(row[0]) != "alive" else "alive"
            self.report_change(
                f"{name} sees",
                ", ".join(f"{member} {state}" for member, state in sorted(states.items())),
            )
            return
        if answer["state"] == "leading":
            self.report_change("leader", f"{name}, term {answer['term']}")
            for duty, owner, number, _, left in answer["duties"]:
                self.report_change(
                    f"duty {duty}",
                    f"{(owner or 'nobody').partition('#')[0]}, number {number}"
                    + ("" if left else ", lease over"),
                )
                self.owned[duty] = bool(owner and left)

    def report_silent(self):
        """Prints which keepers started or stopped answering."""
        now = time.monotonic()
        for name in self.keepers:
            silent = now - self.last_answer_at.get(name, self.started_at) > 4 * POLL_INTERVAL
            self.report_change(f"{name} answers", "no" if silent else "yes")


def run_drill(section, name, fault, duration):
    """Runs the drill; returns the exit code, 0 if every duty has an owner at the end."""
    from twisted.internet import task

    from ...clock import monotonic_reactor, unix_milliseconds
    from ...decisions.owners import protocol
    from ...fleet.wire import Peers

    reactor = monotonic_reactor()
    monitor, key_count, generation = DrillMonitor(list(section["keepers"])), [0], unix_milliseconds()
    client_name = f"drill-{os.getpid()}"

    def on_message(sender, message):
        if isinstance(message, protocol.Answer) and isinstance(message.result, dict):
            monitor.on_answer(sender, message.result)
        elif isinstance(message, protocol.Answer) and isinstance(message.result, list):
            monitor.report(f"{sender} says: {message.result[0]}")

    keepers = dict(section["keepers"])
    peers = Peers(reactor, client_name, keepers, section["secret"].value, on_message, lambda *a, **k: None)

    def next_key():
        key_count[0] += 1
        return f"{client_name}#{generation}/{key_count[0]}"

    def poll():
        for keeper in section["keepers"]:
            peers.send(keeper, protocol.StatusRequest(next_key()))
            peers.send(keeper, protocol.RosterRequest(next_key()))
        monitor.report_silent()

    def inject_fault():
        pid = monitor.pids.get(name)
        if pid is None:
            monitor.report(f"{name} does not answer: nothing was done")
            reactor.stop()
            return
        monitor.report(f"--- {name}: {fault}" + ("" if fault == "kill" else f" for {duration:g} s"))
        if fault == "cut":
            peers.send(name, protocol.DrillRequest(next_key(), int(duration * 10_000)))
            return
        try:
            os.kill(pid, signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
        except (ProcessLookupError, PermissionError) as error:
            monitor.report(f"{name}, process {pid}: {error.strerror}")
            return
        if fault == "stop":
            reactor.callLater(duration, resume, pid)

    def resume(pid):
        monitor.report(f"--- {name} goes on")
        try:
            os.kill(pid, signal.SIGCONT)
        except ProcessLookupError:
            monitor.report(f"{name} has ended meanwhile")

    task.LoopingCall(poll).start(POLL_INTERVAL)
    reactor.callLater(SECONDS_BEFORE, inject_fault)
    reactor.callLater(
        SECONDS_BEFORE + (duration if fault != "kill" else 0) + max(SECONDS_AFTER, duration), reactor.stop
    )
    reactor.run()
    unowned = sorted(duty for duty, owned in monitor.owned.items() if not owned)
    if unowned:
        monitor.report(f"without an owner: {', '.join(unowned)}")
    if fault == "kill":
        monitor.report(f"{name} is down; start it again")
    return FAILED if unowned or not monitor.pids else DONE
