"""Processes of the program: started in batches, awaited until ready, signalled by name, and ended."""

import os
import signal
import socket
import subprocess
import sys
import time

from hookrouter.parsers import thrift

from .remote import ROOT

MAX_PARALLEL_STARTS = 8
CHECK = b"".join(thrift.message(thrift.CALL, b"check", 1, thrift.field(thrift.BOOL, 1) + b"\x01\x00"))
TERM_TIMEOUT = 8.0  # seconds after SIGTERM


def is_ready(port):
    """Whether the router at that port answers a check call with ready."""
    try:
        with socket.create_connection(("127.0.0.1", port), 0.5) as connection:
            connection.sendall(CHECK)
            frames = thrift.Frames(10_000)
            while data := connection.recv(4_096):
                for frame in frames.feed(data):
                    return bool(thrift.Message(frame).arguments().get(0, {}).get(3))
    except OSError:
        pass
    return False


def cpu(pid):
    """Returns the CPU seconds of a process."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Processes:
    """Starts `python -m program(name) arguments(name)` for each name.

    environment(name): additional variables. port(name): port of lookups, None for a process without one.
    events: (Unix s, "start" or a signal, name).
    """

    def __init__(self, folder, arguments, environment, port, program):
        self.folder, self.arguments, self.environment, self.port = folder, arguments, environment, port
        self.program, self.by_name, self.events, self.ready_seconds = program, {}, [], {}

    def start(self, names):
        """Starts MAX_PARALLEL_STARTS processes at a time; RuntimeError if one ends or is not ready."""
        waiting, starting = list(names), {}
        while waiting or starting:
            while waiting and len(starting) < MAX_PARALLEL_STARTS:
                name = waiting.pop(0)
                starting[name] = time.monotonic()
                self._start(name)
            for name, since in list(starting.items()):
                if self.by_name[name].poll() is not None:
                    raise RuntimeError(f"{name} has ended: {self.log(name)[-500:]}")
                port = self.port(name)
                if port is None or is_ready(port):
                    self.ready_seconds[name] = time.monotonic() - since
                    del starting[name]
                elif time.monotonic() > since + 60:
                    raise RuntimeError(f"{name} is not ready after 60 s: {self.log(name)[-500:]}")
            time.sleep(0.02)

    def _start(self, name):
        with open(self.folder / f"{name}.log", "ab") as out:
            self.by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *self.program(name), *self.arguments(name)],
                cwd=ROOT,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **self.environment(name)},
            )
        self.events.append((time.time(), "start", name))

    def signal(self, names, signal_number, event):
        """Sends a signal and records it as an event."""
        for name in names:
            self.events.append((time.time(), event, name))
            self.by_name[name].send_signal(signal_number)

    def kill(self, names):
        """Sends SIGKILL and waits for the end."""
        self.signal(names, signal.SIGKILL, "kill")
        for name in names:
            self.by_name[name].wait()

    def term(self, names):
        """Sends SIGTERM, as for a planned restart; returns {name: exit code}."""
        self.signal(names, signal.SIGTERM, "term")
        return {name: self.by_name[name].wait(TERM_TIMEOUT) for name in names}

    def alive(self):
        """Returns the names of the running processes."""
        return [name for name, process in self.by_name.items() if process.poll() is None]

    def log(self, name):
        """Returns the output of a process so far."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def memory(self):
        """Returns the resident MB of each live process."""
        found = {}
        for name in self.alive():
            with open(f"/proc/{self.by_name[name].pid}/status") as status:
                found[name] = next(
                    int(line.split()[1]) / 1_000 for line in status if line.startswith("VmRSS")
                )
        return found

    def counters(self, names=None, within=5.0):
        """Returns {name: {counter: value}}, as each process logs them on SIGUSR1."""
        names = [name for name in self.alive() if names is None or name in names]
        before = {name: len(self.log(name)) for name in names}
        for name in names:
            self.by_name[name].send_signal(signal.SIGUSR1)
        found, end = {}, time.monotonic() + within
        while len(found) < len(names) and time.monotonic() < end:
            time.sleep(0.05)
            for name in names:
                output = self.log(name)[before[name] :]
                if name not in found and "copy_bytes_held" in output and output.endswith("\n"):
                    found[name] = {}
                    for line in output.splitlines():
                        word, _, value = line.rpartition(" ")
                        word = word.rpartition(" ")[2]
                        if value.lstrip("-").isdigit():
                            found[name][word] = int(value)
        return found

    def end(self):
        """Ends all processes by SIGTERM, then SIGKILL after TERM_TIMEOUT."""
        for process in self.by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + TERM_TIMEOUT
        for process in self.by_name.values():
            try:
                process.wait(max(0.01, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
