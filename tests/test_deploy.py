"""The `run` line of the deploy file: one process, no other programs, IPv4 TCP only to the expected peers."""

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

from fleet import configuration, endpoint, members, message
from processes import BackgroundServer, Cache, FeedStandIn, ask

from standins.ports import free_port

ROOT = Path(__file__).parent.parent
# Runs the module like `run`, with an audit hook (PEP 578) that records started programs and sockets.
WATCHED = """
import json, os, runpy, sys
seen = []
def hook(event, args):
    if event.split(".")[0] in ("subprocess", "pty") or event in (
            "os.fork", "os.forkpty", "os.system", "os.exec", "os.spawn", "os.posix_spawn"):
        seen.append([event, repr(args)])
    elif event == "socket.__new__":
        seen.append([event, [int(args[1]), int(args[2])]])
    elif event in ("socket.bind", "socket.connect", "socket.sendto", "socket.sendmsg"):
        seen.append([event, list(args[1])])
    elif event.startswith("socket.get") and event != "socket.gethostname":
        seen.append([event, repr(args)])
for name in ("sendfile", "splice", "copy_file_range"):
    setattr(os, name, lambda *args, name=name: seen.append([name, repr(args)]))
sys.addaudithook(hook)
out, sys.argv = sys.argv[1], ["hookrouter", *sys.argv[2:]]
try:
    runpy.run_module("hookrouter", run_name="__main__", alter_sys=True)
finally:
    files = sorted({f for m in list(sys.modules.values()) if (f := getattr(m, "__file__", None)) and "/hookrouter/" in f})
    json.dump([seen, files], open(out, "w"))
"""


def test_run_is_one_process_that_opens_only_its_listener_its_caches_and_its_feed(tmp_path):
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    words = deploy["run"].split()
    assert (
        words[0] == "exec"
        and words[2:4] == ["-m", "hookrouter"]
        and not set("&|;$()`<>") & set(deploy["run"])
    )
    with BackgroundServer(Cache) as cache, BackgroundServer(FeedStandIn) as feed:
        port, out = free_port(), tmp_path / "seen.json"
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    members(1, *fleet, whole=True), listen=f"127.0.0.1:{port}", feed=f"127.0.0.1:{feed.port}"
                )
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-c", WATCHED, str(out), *words[4:]],
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={**os.environ, "EDGE_CONFIG": str(path), "EDGE_NAME": "n1"},
        )
        try:
            assert "serving: n1 on 127.0.0.1:" in process.stderr.readline()
            with socket.create_connection(("127.0.0.1", port), 5) as connection:
                connection.settimeout(10)
                ask(connection, message(1, b"check") + message(2) + message(3, part="9", allow="300"), 3)
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGUSR1)
                ask(connection, message(4), 1)
                children = [
                    Path(f"/proc/{process.pid}/task/{task}/children").read_text()
                    for task in os.listdir(f"/proc/{process.pid}/task")
                ]
                assert not any(map(str.strip, children))
            process.send_signal(signal.SIGTERM)
            stderr = process.communicate(timeout=15)[1]
            assert process.returncode == 0 and "reloads 1" in stderr, stderr
        finally:
            process.kill()
            process.wait()
    seen, files = json.loads(out.read_text())
    opened = {
        name: [args for event, args in seen if event == f"socket.{name}"]
        for name in ("__new__", "bind", "connect")
    }
    assert {tuple(kind) for kind in opened["__new__"]} == {(socket.AF_INET, socket.SOCK_STREAM)}
    assert opened["bind"] == [["127.0.0.1", port]]
    assert {tuple(to) for to in opened["connect"]} == {("127.0.0.1", cache.port), ("127.0.0.1", feed.port)}
    assert [event for event, _ in seen if event.partition(".")[2] not in opened] == []
    # Without [trace] no tracing module is loaded; `node` and `policy` list all loaded files.
    assert files and not any("/trace" in f or "/tracing" in f for f in files)
    named = [ROOT / name for name in deploy["node"] + deploy["policy"]]
    assert all(name.exists() for name in named)
    assert [f for f in files if not any(Path(f) == name or name in Path(f).parents for name in named)] == []
