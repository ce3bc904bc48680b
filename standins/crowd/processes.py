"""Processes of the program: started some at a time until each is ready, struck by id, ended in any case."""

import os
import signal
import socket
import subprocess
import sys
import time

from hookrouter.parsers import thrift

from .remote import ROOT

AT_A_TIME = 8
CHECK = b"".join(thrift.message(thrift.CALL, b"check", 1, thrift.field(thrift.BOOL, 1) + b"\x01\x00"))
END_WITHIN = 8.0  # seconds after SIGTERM


def checked(port):
    """Whether the router at that port says that it is ready."""
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
    """Seconds of processor time that a process has had."""
    with open(f"/proc/{pid}/stat") as stat:
        words = stat.read().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


class Processes:
    """program(name): module and words before those of the command, words(name); environment(name): more of
    it; port(name): where lookups go, or None.
    """

    def __init__(self, folder, words, environment, port, program):
        self.folder, self.words, self.environment, self.port = folder, words, environment, port
        self.program, self.by_name, self.events, self.ready_seconds = program, {}, [], {}

    def start(self, names):
        """As many at a time as there are cores to start them; RuntimeError where one ends."""
        waiting, begun = list(names), {}
        while waiting or begun:
            while waiting and len(begun) < AT_A_TIME:
                name = waiting.pop(0)
                begun[name] = time.monotonic()
                self._start(name)
            for name, since in list(begun.items()):
                if self.by_name[name].poll() is not None:
                    raise RuntimeError(f"{name} has ended: {self.log(name)[-500:]}")
                port = self.port(name)
                if port is None or checked(port):
                    self.ready_seconds[name] = time.monotonic() - since
                    del begun[name]
                elif time.monotonic() > since + 60:
                    raise RuntimeError(f"{name} is not ready after 60 s: {self.log(name)[-500:]}")
            time.sleep(0.02)

    def _start(self, name):
        with open(self.folder / f"{name}.log", "ab") as out:
            self.by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *self.program(name), *self.words(name)],
                cwd=ROOT,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **self.environment(name)},
            )
        self.events.append((time.time(), "start", name))

    def signal(self, names, number, what):
        for name in names:
            self.events.append((time.time(), what, name))
            self.by_name[name].send_signal(number)

    def kill(self, names):
        self.signal(names, signal.SIGKILL, "kill")
        for name in names:
            self.by_name[name].wait()

    def term(self, names):
        """As at a planned restart; returns exit codes."""
        self.signal(names, signal.SIGTERM, "term")
        return {name: self.by_name[name].wait(END_WITHIN) for name in names}

    def alive(self):
        return [name for name, process in self.by_name.items() if process.poll() is None]

    def log(self, name):
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def memory(self):
        """MB of each that lives, as the system counts what is resident."""
        found = {}
        for name in self.alive():
            with open(f"/proc/{self.by_name[name].pid}/status") as status:
                found[name] = next(
                    int(line.split()[1]) / 1_000 for line in status if line.startswith("VmRSS")
                )
        return found

    def counters(self, names=None, within=5.0):
        """{name: {counter: value}}, as each tells on SIGUSR1."""
        names = [name for name in self.alive() if names is None or name in names]
        before = {name: len(self.log(name)) for name in names}
        for name in names:
            self.by_name[name].send_signal(signal.SIGUSR1)
        found, end = {}, time.monotonic() + within
        while len(found) < len(names) and time.monotonic() < end:
            time.sleep(0.05)
            for name in names:
                told = self.log(name)[before[name] :]
                if name not in found and "copy_bytes_held" in told and told.endswith("\n"):
                    found[name] = {}
                    for line in told.splitlines():
                        word, _, value = line.rpartition(" ")
                        word = word.rpartition(" ")[2]
                        if value.lstrip("-").isdigit():
                            found[name][word] = int(value)
        return found

    def end(self):
        for process in self.by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + END_WITHIN
        for process in self.by_name.values():
            try:
                process.wait(max(0.01, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
