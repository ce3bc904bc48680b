"""A test fleet of real processes on loopback: keepers, members, proxies between them and a register."""

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

FULL_DISK_LIMIT = 16_384  # bytes, the largest file of a process whose disk is simulated as full
LOG_TAIL = 500  # characters of a log that are shown when a process has exited
ROOT = Path(__file__).resolve().parent.parent


class Rig:
    """Starts, stops and disturbs the processes of a fleet; folder: for stores, configuration files and logs.

    keepers, members: how many of each; members hold duties, but no replica of the lease table. purges: the
    keepers also run the purge desk, each with a replica of the purge log. sections: text appended to each
    configuration file; TCP connections then reach each process by its advertised address, too.
    """

    def __init__(
        self, folder, keepers=3, members=0, lease="1 s", purges=False, hold="24 h", sections="", zones=2
    ):
        self.folder, self.lease = Path(folder), lease
        self.keepers = [f"k{number}" for number in range(keepers)]
        self.names = [*self.keepers, *(f"m{number}" for number in range(members))]
        self.ports = {name: free_port() for name in self.names}
        self.desk_ports = {name: free_port() for name in self.keepers} if purges else {}
        self.hold = hold
        self.links = {
            (source, target): Link(("127.0.0.1", self.ports[target]))
            for source, target in permutations(self.names, 2)
            if target in self.keepers
        }
        self.sections, self.zones = sections, zones
        self.advertised_links = {
            name: Link(("127.0.0.1", self.ports[name])) for name in (self.names if sections else ())
        }
        self.datagram_proxy = DatagramProxy(
            self.ports, proxy_ports={name: link.port for name, link in self.advertised_links.items()}
        )
        self.register_port, self.audit = free_port(), self.folder / "audit.jsonl"
        self.secret = self.folder / "secret"
        self.secret.write_text("a secret for this rig only")
        self.secret.chmod(0o600)
        if purges:
            (self.folder / "purges-secret").write_text("another secret for this rig")
            (self.folder / "purges-secret").chmod(0o600)
        self.fault_injected = set()  # names that run under standins.fault_injection
        # configs: name -> EDGE_CONFIG of a process that serves lookups, too
        self.processes, self.configs = {}, {}
        self.register_process = subprocess.Popen(
            [sys.executable, "-m", "standins.register", str(self.register_port), str(self.audit)], cwd=ROOT
        )
        for name in self.names:
            self._write_site_file(name)

    def _write_site_file(self, name):
        keepers = ", ".join(
            f"{keeper} 127.0.0.1:{self.ports[keeper] if keeper == name else self.links[name, keeper].port}"
            for keeper in self.keepers
        )
        store = f"store = {name}.db\n" if name in self.keepers else ""
        seeds = ", ".join(f"127.0.0.1:{self.datagram_proxy.ports[keeper]}" for keeper in self.keepers)
        zone = f"z{self.names.index(name) % self.zones}"
        (self.folder / f"{name}.ini").write_text(
            f"[fleet]\nname = {name}\nlisten = 127.0.0.1:{self.ports[name]}\nkeepers = {keepers}\n"
            f"address = 127.0.0.1:{self.datagram_proxy.ports[name]}\nseeds = {seeds}\nzone = {zone}\n"
            f"secret = secret\n{store}lease = {self.lease}\ndrill = 127.0.0.1:{self.register_port}\n"
            + (
                self.purges_section()
                + f"[desk]\nlisten = 127.0.0.1:{self.desk_ports[name]}\nstore = {name}-purges.db\n"
                if name in self.desk_ports
                else ""
            )
            + self.sections
        )
        if name == self.keepers[0]:  # commands connect to the keepers directly, not through the proxies
            keepers = ", ".join(f"{keeper} 127.0.0.1:{self.ports[keeper]}" for keeper in self.keepers)
            (self.folder / "people.ini").write_text(
                f"[fleet]\nname = people\nlisten = 127.0.0.1:1\nkeepers = {keepers}\nsecret = secret\n"
                + (self.purges_section() if self.desk_ports else "")
            )

    def purges_section(self):
        """Returns the section [purges] of routers, relays and operators' commands."""
        desks = ", ".join(f"127.0.0.1:{port}" for port in self.desk_ports.values())
        return (
            f"[purges]\ndesk = {desks}\nsecret = purges-secret\nlease = 1 s\nskew = 1 ms\n"
            f"hold = {self.hold}\n"
        )

    def start(self, *names):
        """Starts these processes, or all."""
        for name in names or self.names:
            out = open(self.folder / f"{name}.log", "ab")
            arguments = ["serve"] if name in self.configs else ["fleet", "serve"]
            program = ["hookrouter"]
            if name in self.fault_injected:
                program = ["standins.fault_injection", str(self.folder / f"{name}.faults")]
            environment = {"EDGE_CONFIG": str(self.configs[name])} if name in self.configs else {}
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *program, *arguments, "--site", str(self.folder / f"{name}.ini")],
                cwd=ROOT,
                stdout=out,
                stderr=out,
                env={**os.environ, **environment},
            )
            out.close()

    def relay(self, name):
        """Starts a purge relay that follows the keeper that runs the desk; returns the relay's address."""
        port = free_port()
        (self.folder / f"{name}.ini").write_text(
            self.purges_section()
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

    def command(self, *arguments, group="fleet"):
        """Runs an operator's command; returns its exit code and its output."""
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "hookrouter",
                group,
                *arguments,
                "--site",
                str(self.folder / "people.ini"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def owners(self):
        """Returns {duty: row} from the leader, {} if there is no leader."""
        code, out = self.command("owners", "--json")
        return {row["duty"]: row for row in json.loads(out)} if code == 0 else {}

    def status(self):
        """Returns the status of the fleet as the command reports it."""
        code, out = self.command("status", "--json")
        return json.loads(out)

    def wait(self, condition, within=20.0):
        """Polls condition() and returns its first true value, or False after that many seconds."""
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(0.1)
        return False

    def set_disk_and_clock_faults(self, name, **faults):
        """Sets the faults of standins/fault_injection.py for a process.

        They apply at once if it already runs under it, otherwise from its next start.
        """
        self.fault_injected.add(name)
        (self.folder / f"{name}.new").write_text(json.dumps(faults))
        os.replace(self.folder / f"{name}.new", self.folder / f"{name}.faults")

    def kill(self, name):
        """Sends SIGKILL and waits for the end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def fill_disk(self, name):
        """Limits the size of a keeper's store: the next write beyond it fails with EFBIG."""
        size = (self.folder / f"{name}.db-wal").stat().st_size
        # The limit is small because SQLite may write the WAL from its beginning again.
        self._limit_file_size(name, max(1, min(size - size % 4096, FULL_DISK_LIMIT)))

    def free_disk(self, name):
        """Ends fill_disk()."""
        self._limit_file_size(name, resource.RLIM_INFINITY)

    def _limit_file_size(self, name, size):
        limits = size, resource.RLIM_INFINITY
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, limits)

    def pause(self, name):
        """Suspends a process (SIGSTOP)."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resumes a process (SIGCONT)."""
        self.processes[name].send_signal(signal.SIGCONT)

    def links_of(self, name):
        """Returns the TCP proxies from and to a process."""
        return [link for ends, link in self.links.items() if name in ends]

    def inject_fault(self, name, fault):
        """Injects a fault: "kill", "stop", "disk" (full), "swallow" or "one way".

        "swallow" drops all data from and to the process, "one way" only what it sends.
        """
        if fault == "kill":
            self.kill(name)
        elif fault == "stop":
            self.pause(name)
        elif fault == "disk":
            self.fill_disk(name)
        else:
            both_ways = {"swallow": True, "one way": False}[fault]
            for ends, link in self.links.items():
                if name in ends:
                    link.blackhole(
                        forward=both_ways or ends[0] == name, backward=both_ways or ends[1] == name
                    )

    def clear_fault(self, name, fault):
        """Ends a fault of inject_fault()."""
        if fault == "kill":
            self.start(name)
        elif fault == "stop":
            self.resume(name)
        elif fault == "disk":
            self.free_disk(name)
        else:
            for link in self.links_of(name):
                link.heal()

    def audit_rows(self):
        """Returns the audit log of the register, accepted and refused requests in order."""
        return (
            [json.loads(line) for line in self.audit.read_text().splitlines()] if self.audit.exists() else []
        )

    def steps(self, duty):
        """Returns the number of accepted steps of a duty."""
        return sum(1 for row in self.audit_rows() if row["duty"] == duty and row["ok"] and row["step"])

    def audit_violations(self):
        """Returns the violations in the audit log: numbers that decreased, steps out of order."""
        violations, highest, last_step = [], {}, {}
        for row in self.audit_rows():
            if not row["ok"]:
                continue
            duty, number, step = row["duty"], row["number"], row["step"]
            if number < highest.get(duty, 0):
                violations.append(f"{duty}: {number} was taken after {highest[duty]}")
            if step and step != last_step.get(duty, 0) + 1:
                violations.append(f"{duty}: step {step} was taken after {last_step.get(duty, 0)}")
            highest[duty] = number
            last_step[duty] = step or last_step.get(duty, 0)
        return violations

    def stop(self):
        """Ends all processes and proxies."""
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
        self.register_process.kill()
        self.register_process.wait()
        for link in [*self.links.values(), *self.advertised_links.values()]:
            link.close()
        self.datagram_proxy.close()

    def exited_processes(self):
        """Returns {name: end of its log} of the processes that have exited, to explain why a fleet fails."""
        return {
            name: self.log(name)[-LOG_TAIL:]
            for name, process in self.processes.items()
            if process.poll() is not None
        }

    def log(self, name):
        """Returns the output of a process so far."""
        path = self.folder / f"{name}.log"
        return path.read_text() if path.exists() else ""


def holder(rig, duty):
    """Returns the name of the current holder of a duty, None if there is none."""
    row = rig.owners().get(duty)
    return row["owner"].partition("#")[0] if row and row["owner"] else None


os.environ.setdefault("PYTHONUNBUFFERED", "1")
