"""A fleet of real processes on loopback: keepers and members, a link between each two, a register that
audits.
"""

import json
import os
import resource
import signal
import subprocess
import sys
import time
from itertools import permutations
from pathlib import Path

from .datagram_proxy import DatagramProxy
from .links import Link
from .ports import free_port

FULL = 16_384  # bytes of any file of a process whose disk is full: a few pages
LAST_SAID = 500  # characters of a log
ROOT = Path(__file__).resolve().parent.parent


class Rig:
    """folder: for stores, files and logs. keepers: names; members: further names that bear duties only.
    purges: the keepers bear the desk, and have a copy of the order each. sections: text that each one's file
    ends with; streams then reach each by its advertised address, too.
    """

    def __init__(
        self, folder, keepers=3, members=0, lease="1 s", purges=False, hold="24 h", sections="", zones=2
    ):
        self.folder, self.lease = Path(folder), lease
        self.keepers = [f"k{n}" for n in range(keepers)]
        self.names = [*self.keepers, *(f"m{n}" for n in range(members))]
        self.ports = {name: free_port() for name in self.names}
        self.desk_ports = {name: free_port() for name in self.keepers} if purges else {}
        self.hold = hold
        self.links = {
            (a, b): Link(("127.0.0.1", self.ports[b]))
            for a, b in permutations(self.names, 2)
            if b in self.keepers
        }
        self.sections, self.zones = sections, zones
        self.advertised_links = {
            name: Link(("127.0.0.1", self.ports[name])) for name in (self.names if sections else ())
        }
        self.datagram_proxy = DatagramProxy(
            self.ports, at={name: link.port for name, link in self.advertised_links.items()}
        )
        self.register_port, self.audit = free_port(), self.folder / "audit.jsonl"
        self.secret = self.folder / "secret"
        self.secret.write_text("a secret for this rig only")
        self.secret.chmod(0o600)
        if purges:
            (self.folder / "purges-secret").write_text("another secret for this rig")
            (self.folder / "purges-secret").chmod(0o600)
        self.misbehaving = set()  # names whose disk or clock misbehaves, see set_disk_and_clock_faults()
        self.processes, self.configs = {}, {}  # configs: name -> EDGE_CONFIG of one that runs lookups, too
        self.register = subprocess.Popen(
            [sys.executable, "-m", "standins.register", str(self.register_port), str(self.audit)], cwd=ROOT
        )
        for name in self.names:
            self._site(name)

    def _site(self, name):
        keepers = ", ".join(
            f"{k} 127.0.0.1:{self.ports[k] if k == name else self.links[name, k].port}" for k in self.keepers
        )
        store = f"store = {name}.db\n" if name in self.keepers else ""
        seeds = ", ".join(f"127.0.0.1:{self.datagram_proxy.ports[k]}" for k in self.keepers)
        zone = f"z{self.names.index(name) % self.zones}"
        (self.folder / f"{name}.ini").write_text(
            f"[fleet]\nname = {name}\nlisten = 127.0.0.1:{self.ports[name]}\nkeepers = {keepers}\n"
            f"address = 127.0.0.1:{self.datagram_proxy.ports[name]}\nseeds = {seeds}\nzone = {zone}\n"
            f"secret = secret\n{store}lease = {self.lease}\ndrill = 127.0.0.1:{self.register_port}\n"
            + (
                self.purges()
                + f"[desk]\nlisten = 127.0.0.1:{self.desk_ports[name]}\nstore = {name}-purges.db\n"
                if name in self.desk_ports
                else ""
            )
            + self.sections
        )
        if name == self.keepers[0]:  # commands reach each keeper itself
            keepers = ", ".join(f"{k} 127.0.0.1:{self.ports[k]}" for k in self.keepers)
            (self.folder / "people.ini").write_text(
                f"[fleet]\nname = people\nlisten = 127.0.0.1:1\nkeepers = {keepers}\nsecret = secret\n"
                + (self.purges() if self.desk_ports else "")
            )

    def purges(self):
        """The section, as routers and people have it."""
        desks = ", ".join(f"127.0.0.1:{port}" for port in self.desk_ports.values())
        return (
            f"[purges]\ndesk = {desks}\nsecret = purges-secret\nlease = 1 s\nskew = 1 ms\n"
            f"hold = {self.hold}\n"
        )

    def start(self, *names):
        for name in names or self.names:
            out = open(self.folder / f"{name}.log", "ab")
            words = ["serve"] if name in self.configs else ["fleet", "serve"]
            program = ["hookrouter"]
            if name in self.misbehaving:
                program = ["standins.fault_injection", str(self.folder / f"{name}.shim")]
            edge = {"EDGE_CONFIG": str(self.configs[name])} if name in self.configs else {}
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *program, *words, "--site", str(self.folder / f"{name}.ini")],
                cwd=ROOT,
                stdout=out,
                stderr=out,
                env={**os.environ, **edge},
            )
            out.close()

    def relay(self, name):
        """A relay that follows whichever keeper has the desk; its address."""
        port = free_port()
        (self.folder / f"{name}.ini").write_text(
            self.purges()
            + f"[relay]\nname = {name}\nlisten = 127.0.0.1:{port}\nstore = {name}-members.json\n"
        )
        out = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "hookrouter",
                "purges",
                "relay",
                "--site",
                str(self.folder / f"{name}.ini"),
            ],
            cwd=ROOT,
            stdout=out,
            stderr=out,
        )
        out.close()
        return "127.0.0.1", port

    def command(self, *words, group="fleet"):
        """(exit code, what it printed)."""
        ran = subprocess.run(
            [sys.executable, "-m", "hookrouter", group, *words, "--site", str(self.folder / "people.ini")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        return ran.returncode, ran.stdout + ran.stderr

    def owners(self):
        """{duty: row} as the leader has it, {} without one."""
        code, out = self.command("owners", "--json")
        return {row["duty"]: row for row in json.loads(out)} if code == 0 else {}

    def status(self):
        code, out = self.command("status", "--json")
        return json.loads(out)

    def wait(self, what, within=20.0):
        """The first true value of what(); False where none came in time."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            found = what()
            if found:
                return found
            time.sleep(0.1)
        return False

    def set_disk_and_clock_faults(self, name, **wishes):
        """What standins/fault_injection.py does to that process, from now on, or from its next start."""
        self.misbehaving.add(name)
        (self.folder / f"{name}.new").write_text(json.dumps(wishes))
        os.replace(self.folder / f"{name}.new", self.folder / f"{name}.shim")

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def fill_disk(self, name):
        """A keeper's store cannot grow any more: its next write past the end fails with EFBIG."""
        size = (self.folder / f"{name}.db-wal").stat().st_size
        self._room(name, max(1, min(size - size % 4096, FULL)))  # it may write from its file's begin again

    def free_disk(self, name):
        self._room(name, resource.RLIM_INFINITY)

    def _room(self, name, size):
        limits = size, resource.RLIM_INFINITY
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, limits)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def between(self, name):
        return [link for pair, link in self.links.items() if name in pair]

    def inject_fault(self, name, fault):
        """kill, stop, disk (full), swallow (cut silently, both ways), one way (it hears, unheard)."""
        if fault == "kill":
            self.kill(name)
        elif fault == "stop":
            self.pause(name)
        elif fault == "disk":
            self.fill_disk(name)
        else:
            both = {"swallow": True, "one way": False}[fault]
            for pair, link in self.links.items():
                if name in pair:
                    link.swallow(to=both or pair[0] == name, back=both or pair[1] == name)

    def clear_fault(self, name, fault):
        """The end of what strike began."""
        if fault == "kill":
            self.start(name)
        elif fault == "stop":
            self.resume(name)
        elif fault == "disk":
            self.free_disk(name)
        else:
            for link in self.between(name):
                link.heal()

    def audit_rows(self):
        """What the register took or refused, in its order."""
        return (
            [json.loads(line) for line in self.audit.read_text().splitlines()] if self.audit.exists() else []
        )

    def steps(self, duty):
        return sum(1 for row in self.audit_rows() if row["duty"] == duty and row["ok"] and row["step"])

    def audit_violations(self):
        """What the register's record breaks, in words."""
        broken, highest, last = [], {}, {}
        for row in self.audit_rows():
            if not row["ok"]:
                continue
            duty, number, step = row["duty"], row["number"], row["step"]
            if number < highest.get(duty, 0):
                broken.append(f"{duty}: {number} was taken after {highest[duty]}")
            if step and step != last.get(duty, 0) + 1:
                broken.append(f"{duty}: step {step} was taken after {last.get(duty, 0)}")
            highest[duty] = number
            last[duty] = step or last.get(duty, 0)
        return broken

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.register.kill()
        self.register.wait()
        for link in [*self.links.values(), *self.advertised_links.values()]:
            link.close()
        self.datagram_proxy.close()

    def exited_processes(self):
        """{name: the last it said} of processes that are over: why a fleet does not come together."""
        return {
            name: self.log(name)[-LAST_SAID:]
            for name, process in self.processes.items()
            if process.poll() is not None
        }

    def log(self, name):
        path = self.folder / f"{name}.log"
        return path.read_text() if path.exists() else ""


def holder(rig, duty):
    row = rig.owners().get(duty)
    return row["owner"].partition("#")[0] if row and row["owner"] else None


os.environ.setdefault("PYTHONUNBUFFERED", "1")
