"""Shared by the cases: small stand-ins (cache, origin, control feed, client), and the processes of a case.

The stand-ins follow the protocol page. Where it is silent they behave as sound servers and clients do. Everything
listens on 127.0.0.1 at ports that the system gives.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECRET = "a secret for this case only"
GIVEN = set()  # ports that free_port has given
LIMIT = 115.0  # seconds of one run; then the case counts as one that could not run


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


def now_ms():
    """The Unix time in milliseconds."""
    return int(time.time() * 1_000)


def free_port():
    """A port of 127.0.0.1 that nothing uses, below those that the system gives to outgoing connections."""
    for _ in range(1_000):
        port = random.randrange(11_000, 32_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in GIVEN:
            GIVEN.add(port)
            return port
    raise CannotRun("no port is free")


def wait_for(what, seconds, said):
    """Calls what() until it gives something true, and returns it; CannotRun after so many seconds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = what()
        if found:
            return found
        time.sleep(0.02)
    raise CannotRun(f"not in {seconds:g} s: {said}")


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began, self.lock = time.monotonic(), threading.Lock()

    def __call__(self, who, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {now_ms()} {who}: {text}\n")
            self.file.flush()


# ---- HTTP servers


def read_head(connection, buffer):
    """(request line, fields, rest) of one request without a body, or None at the end of the connection."""
    while b"\r\n\r\n" not in buffer:
        piece = connection.recv(65_536)
        if not piece:
            return None
        buffer += piece
    head, _, rest = buffer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    while len(rest) < length:
        piece = connection.recv(65_536)
        if not piece:
            return None
        rest += piece
    return lines[0], fields, rest[length:]


def write_answer(connection, status, body=b"", **fields):
    """One HTTP/1.1 answer with a length. fields: _ becomes -."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Server:
    """A TCP server with a thread for each connection; serve(connection) is called in it."""

    def __init__(self, serve, port=0):
        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                try:
                    self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    serve(self.request)
                except OSError:
                    pass  # the other side is gone

        class Threads(socketserver.ThreadingTCPServer):
            daemon_threads = allow_reuse_address = True
            request_queue_size = 128

        self.server = Threads(("127.0.0.1", port), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()


class Origin:
    """The truth: each answer is a copy that is given out now. It is asked by caches in this process, and by HTTP."""

    name = "o0"

    def __init__(self, record):
        self.record, self.runs, self.lock = record, [], threading.Lock()
        self.server = Server(self.serve)

    def copy(self, path):
        """(time of the copy in ms, tag, body) of a copy given out now."""
        made = now_ms()
        return made, f"{abs(hash((path, made))) & 0xFFFFFFFFFFFFFFFF:016x}", f"{path} made {made}".encode()

    def serve(self, connection):
        buffer = b""
        while (read := read_head(connection, buffer)) is not None:
            line, fields, buffer = read
            path = line.split(" ")[1]
            if path in ("/ping", "/busy"):
                write_answer(connection, 200, X_Stats="inflight:0;util:0.1")
                continue
            with self.lock:
                self.runs.append((path, fields.get("x-trace"), fields.get("x-op-key")))
            made, tag, body = self.copy(path)
            self.record(self.name, f"{line} id {fields.get('x-trace')} answered: made {made}")
            write_answer(connection, 200, body, X_Rev=tag, X_Since_Ms=made, X_Tags="")


class Cache:
    """A cache that keeps what it fills, and heeds the oldest copy that will do. It knows nothing of purges of the
    desk: by the design page these are enforced where the age is asked for, and by the check of answers.
    """

    def __init__(self, record, origin, name="c0"):
        self.record, self.origin, self.name = record, origin, name
        self.copies, self.lock = {}, threading.Lock()
        self.server = Server(self.serve)

    def serve(self, connection):
        buffer = b""
        while (read := read_head(connection, buffer)) is not None:
            line, fields, buffer = read
            path = line.split(" ")[1]
            if path in ("/ping", "/busy"):
                write_answer(connection, 200, X_Stats="inflight:0;util:0.1")
                continue
            limit = int(fields.get("x-stale-limit", 0))
            with self.lock:
                copy, how = self.copies.get(path), "hit"
                if copy is None or (limit and now_ms() - copy[0] > limit):
                    copy, how = None, "miss"
                    if "x-origin-pick" in fields and "held" not in fields.get("x-do", ""):
                        copy, how = self.origin.copy(path), "filled"
                        self.copies[path] = copy
            asked = f"{line} id {fields.get('x-trace')} limit {limit} from {fields.get('x-origin-pick')}"
            if copy is None:
                self.record(self.name, f"{asked} answered: 404")
                write_answer(connection, 404)
                continue
            made, tag, body = copy
            self.record(self.name, f"{asked} answered: {how}, made {made}")
            if fields.get("x-seen") == tag:
                write_answer(connection, 304, X_Rev=tag, X_Since_Ms=made, X_Tags="", X_Result=how)
            else:
                write_answer(connection, 200, body, X_Rev=tag, X_Since_Ms=made, X_Tags="", X_Result=how)


class ControlFeed:
    """The control feed: no events beyond those of `known` unless tell() is called; a comment each second."""

    def __init__(self, record, first=1):
        self.record, self.events, self.last = record, [], first
        self.changed = threading.Condition()
        self.server = Server(self.serve)

    def tell(self, **event):
        """One more event."""
        with self.changed:
            self.last += 1
            self.events.append((self.last, {"n": self.last, **event}))
            self.record("feed", json.dumps(event))
            self.changed.notify_all()

    def serve(self, connection):
        read = read_head(connection, b"")
        if read is None:
            return
        told = int(read[1].get("last-event-id", 0))
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: here\n\n"
        )
        while True:
            with self.changed:
                new = [(n, event) for n, event in self.events if n > told]
                if not new:
                    self.changed.wait(1.0)
                    new = [(n, event) for n, event in self.events if n > told]
            for n, event in new:
                connection.sendall(f"id: {n}\ndata: {json.dumps(event)}\n\n".encode())
                told = n
            if not new:
                connection.sendall(b": alive\n\n")


# ---- the client


def thrift_text(value):
    """A string or bytes of the binary protocol."""
    data = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(data)) + data


def thrift_call(name, seqid, arguments):
    """A framed strict-binary call."""
    data = struct.pack(">I", 0x80010001) + thrift_text(name) + struct.pack(">i", seqid) + arguments + b"\0"
    return struct.pack(">i", len(data)) + data


class Reader:
    """Values of the binary protocol, as plain Python."""

    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, form):
        size = struct.calcsize(form)
        values = struct.unpack_from(form, self.data, self.at)
        self.at += size
        return values[0] if len(values) == 1 else values

    def text(self):
        size = self.take(">i")
        self.at += size
        return self.data[self.at - size : self.at]

    def value(self, kind):
        if kind == 2:
            return bool(self.take(">b"))
        if kind == 8:
            return self.take(">i")
        if kind == 11:
            return self.text()
        if kind == 12:
            found = {}
            while kind := self.take(">b"):
                number = self.take(">h")
                found[number] = self.value(kind)
            return found
        if kind == 13:
            key, item, size = self.take(">bbi")
            return {self.value(key): self.value(item) for _ in range(size)}
        raise ValueError(f"thrift type {kind}")

    def reply(self):
        """(kind of message, seqid, fields of the result)."""
        version = self.take(">I")
        self.text()
        seqid = self.take(">i")
        return version & 0xFF, seqid, self.value(12)


class Answer:
    """One answer: outcome is served, refused, failed, or lost (none came, or the connection ended)."""

    def __init__(self, outcome, body=b"", fields=None):
        self.outcome, self.body, self.fields = outcome, body, fields or {}

    @property
    def made(self):
        """The time at which the origin gave out the copy, as its bytes say."""
        return int(self.body.rpartition(b" made ")[2])


class Client:
    """A client with one connection, and one call at a time."""

    def __init__(self, record, port):
        self.record, self.port, self.seqid, self.buffer = record, port, 0, b""
        self.socket = None

    def connect(self):
        self.socket = socket.create_connection(("127.0.0.1", self.port), 5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.seqid, self.buffer = 0, b""

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def frame(self, seconds):
        self.socket.settimeout(seconds)
        while len(self.buffer) < 4 or len(self.buffer) < 4 + struct.unpack_from(">i", self.buffer)[0]:
            piece = self.socket.recv(65_536)
            if not piece:
                raise ConnectionError("ended")
            self.buffer += piece
        size = 4 + struct.unpack_from(">i", self.buffer)[0]
        data, self.buffer = self.buffer[4:size], self.buffer[size:]
        return data

    def call(self, name, arguments, seconds):
        if self.socket is None:
            self.connect()
        self.seqid += 1
        self.socket.sendall(thrift_call(name, self.seqid, arguments))
        kind, seqid, found = Reader(self.frame(seconds)).reply()
        if seqid != self.seqid:
            raise ConnectionError(f"answer {seqid} to {self.seqid}")
        return kind, found

    def check(self):
        """Whether the router says that it is ready."""
        try:
            _, found = self.call("check", struct.pack(">bhb", 2, 1, 1), 1.0)
            return bool(found.get(0, {}).get(3))
        except OSError:
            self.close()
            return False

    def lookup(self, kind, name, part=0, group=0, allow=2_000, have=None, quiet=False, key=None):
        """One lookup, and its Answer."""
        ref = os.urandom(8).hex()
        fields = {"service": kind, "ref": ref, "allow": str(allow), "lookup": name, "part": str(part)}
        fields |= {"group": str(group), "room": "10.0"}
        fields |= {"have": have} if have else {}
        fields |= {"replay": key} if key else {}
        arguments = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
        arguments += b"".join(thrift_text(one) + thrift_text(value) for one, value in fields.items())
        arguments += struct.pack(">bh", 11, 2) + thrift_text(b"")
        began = now_ms()
        try:
            message, found = self.call("execute", arguments, allow / 1_000 + 1.0)
        except OSError as error:
            self.close()
            answer = Answer("lost", fields={"why": str(error)})
        else:
            if message == 2 and 0 in found:
                answer = Answer("served", found[0].get(1, b""), found[0].get(2))
            elif message == 2 and 1 in found:
                answer = Answer("refused", fields=found[1].get(1))
            else:
                answer = Answer("failed", fields=found.get(2, {}).get(1) if message == 2 else found)
        answer.began = began
        if not quiet:
            said = answer.body.decode() if answer.body else answer.fields
            self.record("client", f"lookup {kind}/{name} part {part} id {ref} {answer.outcome}: {said}")
        return answer


# ---- the project's processes


def endpoint(name, port, machine, zone):
    """A cache of the list."""
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": zone,
        "type": machine,
        "group": 0,
        "status": "active",
        "weight": 8,
        "since_ms": 0,
    }


class Case:
    """One case: its folder, its record, a temporary folder, and the processes that it started."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.secret = self.work / "secret"
        self.secret.write_text(SECRET)
        self.secret.chmod(0o600)

    def start(self, name, arguments=None, **environment):
        """Starts a program by the line `run` of the deploy file; arguments: in place of its `serve`."""
        line = self.run_line
        if arguments is not None:
            line = line.removesuffix("serve") + arguments
        log = open(self.work / f"{name}.log", "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", line],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "TMPDIR": str(self.work), **environment},
        )
        log.close()
        process.name = name
        self.processes.append(process)
        self.record(name, f"started: {line} (process {process.pid})")
        return process

    def log_of(self, name):
        """What a process has logged."""
        path = self.work / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, process, number):
        """Sends a signal to a process that the case started."""
        self.record(process.name, f"gets {signal.Signals(number).name}")
        process.send_signal(number)

    def site(self, name, text):
        """Writes an operator's file and returns its path."""
        path = self.work / name
        path.write_text(text)
        return str(path)

    def config(self, name, feed_port, endpoints, **changes):
        """A router's configuration, docs/example.json with these caches; returns (path, its port)."""
        config = json.loads((ROOT / "docs/example.json").read_text())
        port = free_port()
        config |= {"name": name, "listen": f"127.0.0.1:{port}", "feed": f"127.0.0.1:{feed_port}"}
        config["known"] = {
            "n": 1,
            "events": [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}],
        }
        config |= changes
        path = self.work / f"{name}.json"
        path.write_text(json.dumps(config))
        return str(path), port

    def end(self):
        """Ends all processes that were started, and copies their logs into the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name in sorted({process.name for process in self.processes}):
            for line in self.log_of(name).splitlines():
                self.record.file.write(f"log of {name}: {line}\n")
        self.record.file.flush()
        shutil.rmtree(self.work, ignore_errors=True)


class DeskCalls:
    """Calls of an operator to a desk, relay or keeper."""

    def __init__(self, record, port, secret=SECRET):
        self.record, self.port, self.secret = record, port, secret

    def call(self, method, path, body=None, seconds=10):
        """(status, decoded body); (None, why) without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=seconds)
        try:
            connection.request(
                method,
                path,
                None if body is None else json.dumps(body),
                {"Authorization": f"Bearer {self.secret}"},
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            return None, str(error) or type(error).__name__
        finally:
            connection.close()

    def submit(self, items, key=None, tell=True):
        """Submits purges [(sort, what)]; returns (status, body)."""
        body = {
            "key": key or os.urandom(8).hex(),
            "purges": [{"sort": sort, "what": what} for sort, what in items],
            "everything": False,
        }
        status, found = self.call("POST", "/v1/purges", body)
        if tell:
            self.record("operator", f"purges {items} key {body['key']}: {status} {json.dumps(found)}")
        return status, found

    def facts(self, number):
        """What is stated of a purge, or None."""
        status, found = self.call("GET", f"/v1/purges/{number}")
        return found if status == 200 else None

    def in_effect(self, number, seconds=15):
        """Waits until the purge is stated as in effect; its facts."""

        def found():
            facts = self.facts(number)
            return facts if facts and facts["in_effect_ms"] else None

        facts = wait_for(found, seconds, f"purge {number} in effect")
        self.record("operator", f"purge {number} is stated as in effect since {facts['in_effect_ms']}")
        return facts

    def members(self):
        """{name: row} of the members, by status."""
        status, found = self.call("GET", "/v1/status")
        return {row["name"]: row for row in found["members"]} if status == 200 else {}

    def wait_live(self, *names, seconds=20):
        """Waits until these members hold a lease."""
        wait_for(
            lambda: all(self.members().get(name, {}).get("state") == "live" for name in names),
            seconds,
            f"members {names} with a lease",
        )


def main(play, folder):
    """Plays a case: play(case) returns the broken rule in words, or None. Exits with 1, 0 or 2."""
    case, code = Case(Path(folder).resolve()), 2

    def too_long(*_):
        raise CannotRun("over its time, or told to end")

    ends = signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    for number in ends:
        signal.signal(number, too_long)
    signal.setitimer(signal.ITIMER_REAL, LIMIT - 5)
    try:
        case.record("case", "with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
        broken = play(case)
        code = 1 if broken else 0
        said = f"rule broken: {broken}" if broken else "rule held"
    except BaseException as error:
        said = f"could not run: {error!r}"
        case.record("case", traceback.format_exc())
    for number in ends:  # from here on all processes are ended, whatever comes
        signal.signal(number, signal.SIG_IGN)
    case.end()
    case.record("case", said)
    print(said)
    sys.stdout.flush()
    os._exit(code)
