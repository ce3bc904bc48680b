"""Purges over the network: desk, relay and routers as processes on loopback."""

import http.client
import json
import signal
import subprocess
import sys
import time

import pytest
from fleet import endpoint, message
from processes import BackgroundServer, Cache, ask
from purge_run import Run, relayed_fleet, router_of, start_relay
from purging import NAME

from hookrouter.desk.clock import Clock


def test_desk_relay_and_routers_survive_kills_of_each(tmp_path):
    with BackgroundServer(Cache) as cache, Run(tmp_path) as run:
        fleet = relayed_fleet(run, cache.port)
        direct_router, port = fleet.routers["n2"]
        submitted = json.loads(
            run.call("submit", "--tag", "sheet", "--group", "3", "--wait", "--json", "--key", "k1")
        )
        assert submitted["in_effect_ms"] and len(submitted["numbers"]) == 2 and not submitted["repeated"]

        fleet.relay.kill()  # its router has applied the purge; the next one waits at most for the lease
        began = time.monotonic()
        run.call("submit", "--tag", "sheet", "--wait", "--json")
        assert time.monotonic() - began < 6
        start_relay(run, fleet.relay_site)
        rows = run.members(2)
        assert {row["name"]: row["relay"] for row in rows} == {"depot": True, "n2": False}

        fleet.desk.kill()  # the order continues under a new epoch, and a repeated key is known
        run.desk()
        again = json.loads(run.call("submit", "--tag", "sheet", "--group", "3", "--json", "--key", "k1"))
        assert again["repeated"] and again["numbers"] == submitted["numbers"]
        newer = json.loads(run.call("submit", "--glob", "clip/7f*", "--wait", "--json"))["numbers"][0]
        assert newer.split(".")[1] == "4" and int(newer.split(".")[0]) > int(
            submitted["numbers"][0].split(".")[0]
        )

        # Paused beyond its lease: a purge waits no longer than that.
        direct_router.send_signal(signal.SIGSTOP)
        json.loads(run.call("submit", "--object", NAME, "--wait", "--json"))
        assert "n2 (" in run.call("status", newer) or "in effect since" in run.call("status", newer)
        direct_router.send_signal(signal.SIGCONT)
        run.members(2)
        import socket

        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.settimeout(10)
            # The stand-in states no age: its copies count as the oldest possible.
            response = ask(connection, message(1), 1)
            assert set(response[1][1]) == {1}
        direct_router.send_signal(signal.SIGTERM)
        stderr = direct_router.communicate(timeout=10)[1]
        assert "Traceback" not in stderr, stderr
        assert direct_router.returncode == 0 and "purges_told" in stderr
        assert [row["name"] for row in run.members(1)] == ["depot"]  # it has left: no purge waits for it


def test_after_a_kill_the_desk_reports_earlier_purges_with_key_and_effect(tmp_path):
    with Run(tmp_path) as run:
        desk = run.desk()
        purge_list = tmp_path / "sheet"
        purge_list.write_text("".join(f"object {number:016x}\n" for number in range(200)))
        submitted = json.loads(run.call("submit", "--from-file", str(purge_list), "--wait", "--json"))
        shown = json.loads(run.call("list", "--json", "--last", "1000"))
        assert not any(row["by"] for row in shown["purges"])
        desk.kill()
        desk.wait()
        desk = run.desk()
        found = json.loads(run.call("list", "--json", "--last", "1000"))
        rows = found["purges"]
        assert found["of"] == 200 and [row["number"] for row in rows] == submitted["numbers"]
        assert [row["what"] for row in rows] == [f"{number:016x}" for number in range(200)]
        assert all(row["key"] == submitted["key"] and "@" in row["key"] and row["by"] for row in rows)
        # Accepted just before the kill: uncertain for a lease, then in effect by the stated time.
        for _ in range(100):
            last = json.loads(run.call("status", submitted["numbers"][-1].split(".")[1], "--json"))
            if last["in_effect_ms"]:
                break
            assert time.time() * 1_000 < last["latest_ms"] + 200
            time.sleep(0.1)
        assert last["number"] == submitted["numbers"][-1] and last["in_effect_ms"] <= last["latest_ms"] + 50
        epoch, number = submitted["numbers"][2].split(".")
        assert json.loads(run.call("status", f"{epoch[-3:]}.{number}", "--json"))["what"] == f"{2:016x}"
        assert "no purge of that number" in run.call("status", f"{(int(epoch) + 1) % 1000}.{number}", code=2)
        assert "no number of a purge" in run.call("status", "3.x", code=2)
        # More than two leases after they were accepted: a new process counts them as in effect.
        time.sleep(max(0, rows[-1]["accepted_ms"] / 1_000 + 4.1 - time.time()))
        desk.kill()
        desk.wait()
        run.desk()
        rows = json.loads(run.call("list", "--json"))["purges"]
        assert len(rows) == 20 and all(row["by"] for row in rows)
        assert all(4_000 < row["in_effect_ms"] - row["accepted_ms"] < 4_200 for row in rows)


def test_the_desk_refuses_invalid_requests_and_wrong_secrets(tmp_path):
    with Run(tmp_path) as run:
        assert "no desk at" in run.call("submit", "--tag", "a", code=1)
        desk = run.desk()
        assert "cannot be compiled" in run.call("submit", "--regex", "a(", code=2)
        assert "nothing to purge" in run.call("submit", code=2)
        assert "everything" in run.call("submit", "--glob", "*", code=2)
        run.call("submit", "--glob", "*", "--everything", "--wait")
        assert "another process holds it" in run.call("verify", code=1)
        assert "no purge of that number" in run.call("status", "1.999", code=2)
        assert "glob *" in run.call("list")
        connection = http.client.HTTPConnection("127.0.0.1", run.port, timeout=5)
        for path, fields, status in (
            ("/v1/status", {}, 401),
            ("/v1/feed", {"Authorization": "Bearer nonsense"}, 401),
            ("/v1/feed", {"Authorization": "Bearer 0123456789abcdef"}, 400),
        ):
            connection.request("GET", path, headers=fields)
            response = connection.getresponse()
            assert response.status == status and json.loads(response.read())["error"]
        for body in (
            b"{",
            b"[]",
            b'{"key": "a", "purges": [{"sort": "tag", "what": "x", "more": 1}]}',
            b'{"key": 5}',
        ):
            connection.request("POST", "/v1/purges", body, {"Authorization": "Bearer 0123456789abcdef"})
            response = connection.getresponse()
            assert response.status == 400 and json.loads(response.read())["error"]
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.request(
                "POST", "/v1/purges", b"x" * 2_000_000, {"Authorization": "Bearer 0123456789abcdef"}
            )
            connection.getresponse()
        desk.send_signal(signal.SIGTERM)
        stderr = desk.communicate(timeout=10)[1]
        assert desk.returncode == 0 and "Traceback" not in stderr and "0123456789abcdef" not in stderr
        assert "1 purges are sound" in run.call("verify")


def limited():
    import resource

    resource.setrlimit(resource.RLIMIT_FSIZE, (300_000, 300_000))


def test_a_full_disk_refuses_at_once_and_loses_no_acknowledged_purge(tmp_path):
    with Run(tmp_path) as run:
        process = subprocess.Popen(
            [sys.executable, "-m", "hookrouter", "purges", "serve", "--site", str(tmp_path / "desk.ini")],
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=limited,
        )
        run.all.append(process)
        assert "serving purges" in process.stderr.readline()
        connection = http.client.HTTPConnection("127.0.0.1", run.port, timeout=5)
        acknowledged = []
        for number in range(200):
            rows = [{"sort": "object", "what": f"{number}-{k}" + "x" * 100} for k in range(100)]
            connection.request(
                "POST",
                "/v1/purges",
                json.dumps({"key": f"k{number}", "purges": rows}),
                {"Authorization": "Bearer 0123456789abcdef"},
            )
            response = connection.getresponse()
            body = json.loads(response.read())
            if response.status != 200:
                break
            acknowledged += [row["number"] for row in body["purges"]]
        assert (
            response.status == 503
            and response.headers["Retry-After"] == "1"
            and "cannot be written" in body["error"]
        )
        assert len(acknowledged) >= 200
        assert "store cannot be written" in process.stderr.readline()
        process.kill()
        process.wait()
        run.desk()
        assert json.loads(run.call("submit", "--tag", "a", "--wait", "--json"))["in_effect_ms"]
        connection = http.client.HTTPConnection("127.0.0.1", run.port, timeout=5)
        rows = [{"sort": "object", "what": "0-" + f"{k}" + "x" * 100} for k in range(100)]
        connection.request(
            "POST",
            "/v1/purges",
            json.dumps({"key": "k0", "purges": rows}),
            {"Authorization": "Bearer 0123456789abcdef"},
        )
        again = json.loads(connection.getresponse().read())
        assert again["repeated"] and [row["number"] for row in again["purges"]] == acknowledged[:100]


def test_the_desks_clock_advances_when_the_wall_clock_steps_back_and_follows_it_forward():
    wall, passed = [100.0], [0]
    clock = Clock(lambda: wall[0], lambda: passed[0])
    assert clock() == 1_000_000
    wall[0], passed[0] = 97.0, 10_000  # a second later; the wall clock was set back by four
    assert clock() == 1_010_000
    wall[0], passed[0] = 110.0, 20_000
    assert clock() == 1_100_000


def test_a_restored_store_starts_above_the_followers_epoch(tmp_path):
    with Run(tmp_path) as run:
        desk = run.desk()
        run.call("submit", "--tag", "a")
        desk.send_signal(signal.SIGTERM)
        desk.wait()
        copy = (tmp_path / "purges.db").read_bytes()
        desk = run.desk()
        with BackgroundServer(Cache) as cache:
            router_of(run, [endpoint("o0", cache.port, "origin")], "n1", str(tmp_path / "desk.ini"))
            run.members(1)
            lost = json.loads(run.call("submit", "--tag", "b", "--wait", "--json"))["numbers"]
            desk.kill()
            desk.wait()
            for path in tmp_path.glob("purges.db*"):
                path.unlink()
            (tmp_path / "purges.db").write_bytes(copy)
            run.desk()
            rows = run.members(1)
            new = json.loads(run.call("submit", "--tag", "c", "--wait", "--json"))["numbers"]
            assert new != lost and rows[0]["name"] == "n1"  # the same number, under another epoch
