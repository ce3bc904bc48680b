"""fleet drill: one fault at a keeper on this machine, and what the others say of it, as it comes."""

import os
import signal
import time

from .. import DONE, FAILED

LOOK = 0.2  # seconds between looks
BEFORE = 1.0  # seconds of looks before the fault
AFTER = 5.0  # seconds of looks behind its end, at the least


class Watch:
    """What is known of the fleet, and a line for each change."""

    def __init__(self, keepers):
        self.keepers, self.began, self.owned = keepers, time.monotonic(), {}
        self.heard_at, self.pids, self.said = {}, {}, {}

    def line(self, text):
        print(f"{time.monotonic() - self.began:6.1f} s  {text}", flush=True)

    def note(self, what, value):
        """A line where it is another than before."""
        if self.said.get(what) != value:
            self.said[what] = value
            self.line(f"{what}: {value}")

    def heard(self, name, found):
        now = time.monotonic()
        self.heard_at[name] = now
        if "pid" in found:
            self.pids[name] = found["pid"]
            states = {}
            for row in found["members"]:
                states[row[0]] = row[7] if states.get(row[0]) != "alive" else "alive"
            self.note(f"{name} sees", ", ".join(f"{who} {state}" for who, state in sorted(states.items())))
            return
        if found["state"] == "leading":
            self.note("leader", f"{name}, term {found['term']}")
            for duty, owner, number, _, left in found["duties"]:
                self.note(
                    f"duty {duty}",
                    f"{(owner or 'nobody').partition('#')[0]}, number {number}"
                    + ("" if left else ", lease over"),
                )
                self.owned[duty] = bool(owner and left)

    def look(self):
        now = time.monotonic()
        for name in self.keepers:
            quiet = now - self.heard_at.get(name, self.began) > 4 * LOOK
            self.note(f"{name} answers", "no" if quiet else "yes")


def rehearse(section, name, fault, span):
    """The exit code: 0 where every duty has an owner at the end."""
    from twisted.internet import reactor, task

    from ...decisions.owners import protocol
    from ...fleet.wire import Peers

    watch, count, life = Watch(list(section["keepers"])), [0], int(time.time() * 1_000)
    who = f"drill-{os.getpid()}"

    def heard(sender, message):
        if isinstance(message, protocol.Answer) and isinstance(message.result, dict):
            watch.heard(sender, message.result)
        elif isinstance(message, protocol.Answer) and isinstance(message.result, list):
            watch.line(f"{sender} says: {message.result[0]}")

    keepers = dict(section["keepers"])
    peers = Peers(reactor, who, keepers, section["secret"].value, heard, lambda *a, **k: None)

    def key():
        count[0] += 1
        return f"{who}#{life}/{count[0]}"

    def look():
        for keeper in section["keepers"]:
            peers.send(keeper, protocol.StatusRequest(key()))
            peers.send(keeper, protocol.RosterRequest(key()))
        watch.look()

    def strike():
        pid = watch.pids.get(name)
        if pid is None:
            watch.line(f"{name} does not answer: nothing was done")
            reactor.stop()
            return
        watch.line(f"--- {name}: {fault}" + ("" if fault == "kill" else f" for {span:g} s"))
        if fault == "cut":
            peers.send(name, protocol.DrillRequest(key(), int(span * 10_000)))
            return
        try:
            os.kill(pid, signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
        except (ProcessLookupError, PermissionError) as wrong:
            watch.line(f"{name}, process {pid}: {wrong.strerror}")
            return
        if fault == "stop":
            reactor.callLater(span, resume, pid)

    def resume(pid):
        watch.line(f"--- {name} goes on")
        try:
            os.kill(pid, signal.SIGCONT)
        except ProcessLookupError:
            watch.line(f"{name} has ended meanwhile")

    task.LoopingCall(look).start(LOOK)
    reactor.callLater(BEFORE, strike)
    reactor.callLater(BEFORE + (span if fault != "kill" else 0) + max(AFTER, span), reactor.stop)
    reactor.run()
    without = sorted(duty for duty, owned in watch.owned.items() if not owned)
    if without:
        watch.line(f"without an owner: {', '.join(without)}")
    if fault == "kill":
        watch.line(f"{name} is down; start it again")
    return FAILED if without or not watch.pids else DONE
