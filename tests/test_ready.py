"""A start with a small share of a core: nine in ten restarted routers must be ready within 10 s."""

import json
import os
import signal
import socket

from fleet import configuration, endpoint, members, message
from processes import BackgroundServer, FeedStandIn, ask, start_router

from standins.ports import free_port

READY = 10.0  # seconds that the operators allow
SHARE = 1 / 5  # of a core, the smallest share seen in trials
TICKS = os.sysconf("SC_CLK_TCK")


def processor_time(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def test_a_start_with_400_caches_and_20000_purges_is_ready_in_time_at_a_fifth_of_a_core(tmp_path):
    caches = [endpoint(f"c{n}", 7100 + n) for n in range(400)]
    purges = [{"n": n, "purge": {"key": f"{n:016x}", "at": 1764576000123}} for n in range(2, 20_002)]
    with BackgroundServer(FeedStandIn) as feed:
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    members(1, *caches, endpoint("o0", 7600, "origin"), whole=True),
                    *purges,
                    listen=f"127.0.0.1:{free_port()}",
                    feed=f"127.0.0.1:{feed.port}",
                )
            )
        )
        process, port = start_router(path)
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as client:
                client.settimeout(10)
                ((_, struct),) = ask(client, message(1, b"check"), 1).values()
                assert struct[0][3] is True
            took = processor_time(process.pid)
            print(f"ready after {took:.2f} s of processor time, {took / SHARE:.1f} s at a fifth of a core")
            assert took < READY * SHARE
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=10)
            assert process.returncode == 0
        finally:
            process.kill()
            process.wait()
