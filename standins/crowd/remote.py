"""Runs a stand-in in a process of its own, controlled by commands as lines of JSON over TCP.

The process ends when its parent does.
"""

import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
CALL_TIMEOUT = 60.0  # seconds for an answer; the slowest command writes a table to a file


async def serve(make, spec):
    """Serves commands: the public methods of make(spec), after its start() has been awaited."""
    target, loop = make(spec), asyncio.get_running_loop()
    started = await target.start()
    parent_ended = loop.create_future()

    async def handle(reader, writer):
        while line := await reader.readline():
            request = json.loads(line)
            try:
                result = getattr(target, request["do"])(**request["with"])
                result = await result if asyncio.iscoroutine(result) else result
                answer = {"told": result}
            except Exception as error:  # reported to the caller; the stand-in goes on
                answer = {"wrong": f"{type(error).__name__}: {error}"}
            writer.write(json.dumps(answer).encode() + b"\n")
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0, limit=2**24)
    loop.add_reader(0, lambda: os.read(0, 1) or parent_ended.done() or parent_ended.set_result(None))
    print(json.dumps({"port": server.sockets[0].getsockname()[1], "started": started}), flush=True)
    await parent_ended
    os._exit(0)  # there is no state to save


def main(make):
    """Raises the limit of open files and serves the spec in the file named by the first argument."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    asyncio.run(serve(make, json.loads(Path(sys.argv[1]).read_text())))


class Remote:
    """Starts a stand-in and calls its commands, as in remote.call("vanish", name="c1").

    RuntimeError carries the text of an error there.
    """

    def __init__(self, module, spec, folder):
        self.module, path = module, Path(folder) / f"{module}.spec.json"
        path.write_text(json.dumps(spec))
        with open(Path(folder) / f"{module}.log", "ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"standins.crowd.{module}", str(path)],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=out,
            )
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{module} did not start, see {path.parent}/{module}.log")
        greeting = json.loads(line)
        self.started = greeting["started"]
        self.socket = socket.create_connection(("127.0.0.1", greeting["port"]), CALL_TIMEOUT)
        self.lines = self.socket.makefile("rb")

    def call(self, command, **values):
        """Runs a command with keyword arguments and returns its result."""
        self.socket.sendall(json.dumps({"do": command, "with": values}).encode() + b"\n")
        answer = json.loads(self.lines.readline() or b'{"wrong": "it has ended"}')
        if "wrong" in answer:
            raise RuntimeError(f"{command}: {answer['wrong']}")
        return answer["told"]

    def end(self):
        """Ends the process by closing its standard input, by SIGKILL after 5 s."""
        self.socket.close()
        self.process.stdin.close()
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()
