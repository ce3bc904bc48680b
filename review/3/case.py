"""A duty is handed over: does the member that gave it up go on acting on the resource, beside the new owner?"""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import TROUBLE, CannotRun, Server, free_port, main, wait_for

KEEPERS = ("k1", "k2", "k3")
DUTY = "drill/one"
HAND_OVERS = 4


class Register:
    """The resource of the duty: takes steps, one JSON object a line, and keeps a fence. A line with step 0 only asks
    for the last step. A number lower than it has seen is refused, and so is a step out of order.
    """

    def __init__(self, record):
        self.record, self.rows, self.lock = record, [], threading.Lock()
        self.seen, self.step = 0, 0
        self.server = Server(self.serve)

    def serve(self, connection):
        for line in connection.makefile("rb"):
            asked = json.loads(line)
            with self.lock:
                number, step = asked["number"], asked["step"]
                good = number >= self.seen and (step == 0 or step == self.step + 1)
                stale = number < self.seen
                self.seen = max(self.seen, number)
                if good and step:
                    self.step = step
                self.rows.append((time.monotonic(), number, step, good, stale))
                self.record("register", f"{asked} {'taken' if good else 'refused'}{', an old number' if stale else ''}")
                reply = {"duty": asked["duty"], "number": number, "ok": good, "step": self.step}
            connection.sendall(json.dumps(reply).encode() + b"\n")


def play(case):
    register = Register(case.record)
    ports = {name: free_port() for name in KEEPERS}
    keepers = ", ".join(f"{name} 127.0.0.1:{ports[name]}" for name in KEEPERS)
    sites = {}
    for name in KEEPERS:
        sites[name] = case.site(
            f"{name}.ini",
            f"[fleet]\nname = {name}\nlisten = 127.0.0.1:{ports[name]}\nkeepers = {keepers}\n"
            f"secret = {case.secret}\nstore = {case.work / name}.db\nlease = 1 s\n"
            f"drill = 127.0.0.1:{register.server.port}\n",
        )
        case.start(name, f"fleet serve --site {sites[name]}")
    people = case.site(
        "people.ini",
        f"[fleet]\nname = people\nlisten = 127.0.0.1:{free_port()}\nkeepers = {keepers}\nsecret = {case.secret}\n",
    )

    def command(words, count=[0]):
        """A command of an operator; (exit code, what it says)."""
        count[0] += 1
        process = case.start(f"command{count[0]}", f"fleet {words} --site {people}")
        code = process.wait(20)
        said = case.log_of(process.name).strip()
        case.record("operator", f"fleet {words}: {code} {said}")
        return code, said

    wait_for(lambda: command(f"declare {DUTY}")[0] == 0, 20, "a leader")

    def owner():
        code, said = command("owners --json")
        if code != 0:
            return None
        rows = json.loads(said)
        rows = rows["duties"] if isinstance(rows, dict) else rows
        return next((row for row in rows if DUTY in json.dumps(row)), None)

    wait_for(lambda: register.step > 20, 20, "steps of the duty")
    late = 0
    for _ in range(HAND_OVERS):
        row = owner()
        holder = next((name for name in KEEPERS if f"{name}#" in json.dumps(row)), None)
        if holder is None:
            raise CannotRun(f"no owner in {row}")
        before = register.seen
        if TROUBLE:
            target = next(name for name in KEEPERS if name != holder)
            code, _ = command(f"hand-over {DUTY} --to {target}")
            if code != 0:
                raise CannotRun("the hand-over was refused")
            wait_for(lambda: register.seen > before, 10, "the new owner")
        time.sleep(2.5)
        late += sum(stale for _, _, _, _, stale in register.rows)
        register.rows.clear()
    if late:
        return (
            f"{late} times in {HAND_OVERS} hand-overs the member that had given the duty up acted on it after the new "
            f"owner had begun to"
        )
    return None


main(play, Path(__file__).resolve().parent)
