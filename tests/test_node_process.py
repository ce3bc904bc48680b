"""One router as a process on loopback, against small servers."""

import json
import os
import signal
import socket
import subprocess
import sys

from fleet import configuration, endpoint, members, message
from processes import BackgroundServer, Cache, FeedStandIn, ask, start_router
from scenes import FLEET

from standins.ports import free_port

EARLY = """
import os, signal, sys
from hookrouter import __main__
from hookrouter.node import start
read = start.read_start
def slow(environment, **more):
    os.kill(os.getpid(), signal.SIGHUP)
    start.read_start = read
    return read(environment, **more)
start.read_start = slow
sys.exit(__main__.main(["serve"]))
"""


def test_a_router_serves_on_loopback_ends_by_itself_and_starts_again(tmp_path):
    with BackgroundServer(Cache) as cache, BackgroundServer(FeedStandIn) as feed:
        port = free_port()
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    members(1, *fleet, whole=True), listen=f"127.0.0.1:{port}", feed=f"127.0.0.1:{feed.port}"
                )
            )
        )
        for _ in range(2):  # the second under the same name and address
            process, _ = start_router(path)
            try:
                with socket.create_connection(("127.0.0.1", port), 5) as connection:
                    connection.settimeout(10)
                    big = ask(connection, b"".join(message(n, part="7") for n in range(10, 18)), 8)
                    assert {len(struct[0][1]) for _, struct in big.values()} == {7_000 * 30}
                    got = ask(
                        connection,
                        message(21, b"check") + message(22) + message(23, part="9", allow="300"),
                        3,
                    )
                    assert got[21][1][0][3] is True and got[22][1][0][1] == b"/fetch/clip/7f3a9c21e0b4d655/3"
                    assert got[23][1].keys() == {1}  # a silent cache: nacked in time
                    process.send_signal(signal.SIGUSR1)
                    assert any(
                        "lookups_taken.clip 10" in line
                        for line in iter(process.stderr.readline, "")
                        if "lookups_taken.clip" in line or "body_bytes_held" in line
                    )
                    process.send_signal(signal.SIGTERM)
                    assert ask(connection, message(24), 1)[24][1][0][3] is True  # still taken and answered
                said = process.communicate(timeout=10)[1]
                assert process.returncode == 0 and "lookups_held 0" in said and "Traceback" not in said
            finally:
                process.kill()
                process.wait()


def test_signals_before_and_after_the_start_end_nothing_but_what_they_should(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(members(1, *FLEET), listen=f"127.0.0.1:{free_port()}")))
    process = subprocess.Popen(
        [sys.executable, "-c", EARLY],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "EDGE_CONFIG": str(path)},
    )
    try:
        said = [process.stderr.readline() for _ in range(2)]
        assert "serving: n1" in said[0] and "reloaded" in said[1]  # the signal from before the service ran
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert any("reload refused" in line for line in iter(process.stderr.readline, ""))
        process.send_signal(signal.SIGTERM)
        assert "reloads_refused 1" in process.communicate(timeout=10)[1] and process.returncode == 0
    finally:
        process.kill()
        process.wait()


def test_an_address_that_is_taken_ends_the_start_with_one_line(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(configuration(members(1, *FLEET), listen=f"127.0.0.1:{taken.getsockname()[1]}"))
        )
        ended = subprocess.run(
            [sys.executable, "-m", "hookrouter", "serve"],
            capture_output=True,
            text=True,
            timeout=20,
            env={**os.environ, "EDGE_CONFIG": str(path)},
        )
    assert (
        ended.returncode == 1
        and ended.stderr.startswith("hookrouter: cannot listen")
        and ended.stderr.count("\n") == 1
    )
