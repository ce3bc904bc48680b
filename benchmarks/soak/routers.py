"""Router processes of a soak run: started as the deploy file says, sent signals, watched by the kernel."""

import asyncio
import json
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path

from standins.crowd.settings import settings

from .clients import RouterAddress
from .plan import WRITES, Plan, Signals
from .records import History, Life

ROOT = Path(__file__).resolve().parent.parent.parent
SAMPLE_INTERVAL = 0.05  # seconds
MEGABYTE, KILOBYTE = 1_000_000, 1_024
# Seconds: SIGKILL comes no earlier than the longest deadline, or this, plus the margin.
LONGEST_WAIT, KILL_MARGIN = 3.0, 0.7
RESTART_PAUSE = 0.3  # seconds between a process and the next one
READY_TIMEOUT = 30.0  # seconds, by the pages


def router_settings(plan: Plan) -> dict[str, object]:
    """The platform's settings of a plan."""
    result = settings(0, "edge", ["edge"], {"edge": plan.routers}, True, "off", CACHE_TIMES)
    for kind in result["classes"]:
        kind["deadline"] = float(plan.deadline_ms)
        if kind["name"] == WRITES:
            kind["idempotency"] = plan.write_effect
            kind["memorySpan"] = 6_000.0 if plan.write_effect == "guarded" else 0.0
    result["limits"]["mostHeld"] = plan.max_pending
    return result


CACHE_TIMES = {
    "share": 0.5,
    "cold_ms": 1_000,
    "multiple": 8.0,
    "fall_ms": 1_000,
    "parent_share": 0.5,
    "parent_cold_ms": 1_000,
    "parent_multiple": 8.0,
}


class Router:
    """One router: a process after another at one address."""

    def __init__(
        self, plan: Plan, address: RouterAddress, folder: Path, history: History, root: Path
    ) -> None:
        """root: of the tree whose router is run."""
        self.plan, self.address, self.folder, self.history, self.root = plan, address, folder, history, root
        self.process: subprocess.Popen | None = None
        self.life: Life | None = None
        self.run = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]

    def write_configuration(self, feed_port: int, known: dict[str, object]) -> None:
        """Writes the file that EDGE_CONFIG names."""
        name = f"n{self.address.number}"
        configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.address.port}",
            "seed": name,
            "feed": f"127.0.0.1:{feed_port}",
            "settings": router_settings(self.plan),
            "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": self.plan.sockets},
            "flow_bytes_per_s": 20_000_000,
            "link_bytes_per_s": 400_000_000,
            "known": known,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(configuration))

    async def start(self) -> None:
        """Starts the next process and waits until it listens."""
        name = f"n{self.address.number}"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.run],
                cwd=self.root,
                stdout=log,
                stderr=log,
                env={**os.environ, "EDGE_CONFIG": str(self.folder / f"{name}.json"), "EDGE_NAME": name},
            )
        number = self.life.number + 1 if self.life is not None else 0
        self.life = Life(self.address.number, number, self.process.pid, time.monotonic())
        self.history.lives.append(self.life)
        self.address.life = number
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < end and self.process.poll() is None:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
                writer.close()
                self.life.ready = time.monotonic()
                return
            except OSError:
                await asyncio.sleep(0.02)

    async def watch(self) -> None:
        """Samples the process and ends it at its limit, as the operators do."""
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_INTERVAL)

    def _sample(self) -> None:
        life = self.life
        if life is None or life.ended is not None:
            return
        try:
            status = Path(f"/proc/{life.pid}/status").read_text()
            life.descriptors = max(life.descriptors, len(os.listdir(f"/proc/{life.pid}/fd")))
        except OSError:
            status = ""
        sizes = dict(line.split(":", 1) for line in status.splitlines() if line.startswith("Vm"))
        if "VmHWM" in sizes:
            life.peak_bytes = max(life.peak_bytes, int(sizes["VmHWM"].split()[0]) * KILOBYTE)
            life.memory.append((time.monotonic(), int(sizes["VmRSS"].split()[0]) * KILOBYTE))
        if life.peak_bytes > self.plan.memory_mb * MEGABYTE and not life.over_memory:
            life.over_memory = True
            life.killed = time.monotonic()
            self.process.kill()
        if (code := self.process.poll()) is not None:
            life.ended, life.exit_code = time.monotonic(), code

    async def play(self, signals: Signals) -> None:
        """Sends a series of signals, and starts the next process where it ends this one."""
        life = self.life
        for name in signals.names:
            if self.process.poll() is not None:
                break
            self._send(life, name)
            await asyncio.sleep(signals.pause)
        if life.pauses and life.pauses[-1][1] == 0.0:
            self._send(life, "CONT")
        if life.told_to_end is not None:
            await self._wait_for_end(life)
        if life.told_to_end is not None or life.killed is not None:
            await asyncio.to_thread(self.process.wait)
            self._sample()
            await asyncio.sleep(RESTART_PAUSE)
            await self.start()

    def _send(self, life: Life, name: str) -> None:
        now = time.monotonic()
        if name == "TERM" and life.told_to_end is None:
            life.told_to_end = now
        elif name == "KILL":
            life.killed = now
        elif name == "STOP":
            life.pauses.append((now, 0.0))
        elif name == "CONT" and life.pauses:
            life.pauses[-1] = (life.pauses[-1][0], now)
        self.process.send_signal(getattr(signal, f"SIG{name}"))

    async def _wait_for_end(self, life: Life) -> None:
        """Waits until the process ends by itself, and kills it at the earliest time that the pages allow."""
        longest = min(LONGEST_WAIT, self.plan.deadline_ms / 1_000)
        end = life.told_to_end + longest + KILL_MARGIN
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.005)
        if self.process.poll() is None:
            life.killed = time.monotonic()
            self.process.kill()

    def stop(self) -> None:
        """Ends the process for good."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
