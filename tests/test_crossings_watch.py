"""The watch of the feed and the end of the process, crossed by bytes, ends and signals, on real sockets."""

import json
import os
import signal
import socket

import pytest
from crossings import CALL, LOCAL, Machine, StandIn, event, sockets_for
from fleet import answer, answers, configuration, endpoint, members, message
from processes import FeedStandIn, Standing, serving
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from standins.ports import free_port

# ---- the watch


def stream_of(m):
    return m.router.feed.stream


@pytest.mark.parametrize("late", ["byte", "end", "up"])
@pytest.mark.parametrize("new", ["waits", "is up"])
def test_what_is_late_of_an_old_watch_takes_nothing_from_the_new_one(tmp_path, late, new):
    """Twisted tells a protocol nothing after its end: the late word is told by hand."""
    with Machine(tmp_path) as m:
        first = m.follow()
        old, transport = stream_of(m), stream_of(m).transport
        first.fin()
        m.until(lambda: stream_of(m) is None)
        if new == "is up":
            second = m.followed(m.feed, 1, 0.5)
        if late == "byte":
            old.dataReceived(b": late\n\n")
        elif late == "end":
            old.connectionLost(Failure(ConnectionDone()))
        else:
            old.makeConnection(transport)
        if new == "is up":
            m.advance(0.5)
            assert len(m.feed.peers) == 2 and stream_of(m) is not None
            second.send(event({"n": 2, "purge": {"group": 1, "at": 1_700_000_000_000}}))
            m.turns()
            assert m.router.feed.last_number == 2
            m.advance(1.9)  # silent: its own timer ends it
            assert second.read() and second.end
        m.followed(m.feed, 1 + (new == "is up"), 0.5)


@pytest.mark.parametrize("cut", ["fin", "reset", "silent"])
def test_half_an_event_is_told_once_it_came_whole(tmp_path, cut):
    with Machine(tmp_path) as m:
        told = event(members(2, endpoint("c0", m.caches["c0"].port, status="leaving")))
        first = m.follow()
        for byte in told[:-1]:
            first.send(bytes([byte]))
            m.reads()
        if cut == "silent":
            m.advance(1.9)
        else:
            getattr(first, cut)()
        second = m.followed(m.feed, 1, 0.5)
        assert m.router.feed.last_number == 1 and b"Last-Event-ID: 1\r\n" in second.got
        second.send(told + told)
        m.turns()
        assert m.router.feed.last_number == 2 and m.counters.values["feed_events"] == 1


@pytest.mark.parametrize("dial", ["held", "up"])
def test_a_reload_that_moves_the_feed_while_a_dial_is_out(tmp_path, dial):
    with Machine(tmp_path) as m:
        there, ports = StandIn(), {m.feed.port}
        m.reactor.held_ports = ports
        m.router.feed.start()
        m.turns()
        service = m.service(lambda: m.start._replace(feed=(LOCAL, there.port), known=[]))
        if dial == "up":  # it is answered in the moment of the signal
            m.reactor.held_ports = set()
        service.reload()
        peer = m.followed(there, 0, 0.5)
        m.reactor.held_ports = set()
        m.advance(1.0)
        assert len(there.peers) == 1 and peer.end is None
        m.feed.look()
        assert all(old.end for old in m.feed.peers)  # nothing is left at the old address
        there.close()


@pytest.mark.parametrize("refused", [0.3, 3.0])
def test_a_feed_that_returns_is_followed_soon_also_where_idle_clients_hold_all_descriptors(tmp_path, refused):
    with Machine(tmp_path, sockets=sockets_for(caches=4)) as m:
        first = m.follow()
        while len(m.clients) < m.router.front.connections.size:
            m.client().send(message(1, b"check"))
        m.clients[0].send(b"".join(message(n, ref=f"{n:016x}", lookup=f"{n:016x}") for n in range(2, 7)))
        m.until(lambda: m.held()["connections_held"] == 4)
        port = m.feed.port
        m.feed.close()
        m.advance(refused)
        assert stream_of(m) is None and first.socket.fileno() < 0
        m.feed = StandIn(port)
        m.followed(m.feed, 0, 0.5)


# ---- the end of the process


@pytest.mark.parametrize(
    "case",
    [
        "half a frame",
        "a dial is out",
        "twice",
        "with a reload",
        "a watch is down",
        "a list",
        "a cache's end",
        "a cache's reset",
    ],
)
def test_what_the_end_crosses_is_answered_and_the_process_ends_once(tmp_path, case):
    with Machine(tmp_path) as m:
        client, call, feed = m.client(), message(8, ref=CALL, allow="3000"), m.follow()
        service = m.service(lambda: m.start._replace(known=[]))
        m.reactor.held_ports = (
            {cache.port for cache in m.caches.values()} if case == "a dial is out" else set()
        )
        client.send(call[:50] if case == "half a frame" else call)
        if case == "a watch is down":
            m.feed.close()
        m.turns()
        service.stop()
        if case == "twice":
            m.advance(0.1)
            service.stop()
        elif case == "with a reload":
            service.reload()
        elif case == "a list":
            feed.send(event(members(2, endpoint("c0", m.caches["c0"].port, status="left"))))
        elif case.startswith("a cache's"):
            getattr(m.asking()[0], {"a cache's end": "fin", "a cache's reset": "reset"}[case])()
        m.advance(0.3)
        if case == "half a frame":
            client.send(call[50:])
        m.reactor.held_ports = set()
        m.answer(b"whole")
        m.advance(2.5)
        assert client.ended_cleanly() and client.body(8) == b"whole"
        assert m.reactor.stops == 1 and m.counters.values["reloads"] == 0
        assert m.held()["lookups_held"] == m.held()["clients_held"] == 0


@pytest.mark.parametrize("how", ["fin", "reset", "interrupt"])
def test_a_client_that_goes_after_sigterm_does_not_hold_the_exit_up(tmp_path, how):
    with Machine(tmp_path) as m:
        client = m.client()
        client.send(message(8, ref=CALL, allow="4000"))
        m.until(m.asking)
        m.service().stop()
        m.advance(0.3)
        m.ends(client, how)
        m.advance(1.0)
        if how == "interrupt":  # it is ended with the resting ones, and closes its half
            assert client.ended_cleanly()
            client.socket.close()
            m.advance(0.1)
        assert m.reactor.stops == 1 and m.asked(CALL) == ["c0"]
        m.nothing_is_owed()


class Large(FeedStandIn):
    def handle(self):
        while self.request.recv(65536):
            self.request.sendall(answer(200, b"x" * 200_000))


def test_signals_and_bytes_that_came_in_a_pause_end_a_process_that_answers_all(tmp_path):
    """Stopped, given its bytes and its signals, and let go: all lies there when it wakes."""
    with Standing(Large) as cache, Standing(FeedStandIn) as feed:
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    members(1, *fleet, whole=True),
                    listen=f"{LOCAL}:{free_port()}",
                    feed=f"{LOCAL}:{feed.port}",
                )
            )
        )
        process, port = serving(path)
        try:
            held = [socket.create_connection((LOCAL, port), 5) for _ in range(4)]
            rest, half, many, gone = held
            half.sendall(message(1, ref="f" * 16)[:50])
            for one in held:
                one.settimeout(10)
            rest.sendall(message(1, b"check"))
            assert rest.recv(65536)
            process.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, process.pid, os.WSTOPPED)
            rest.sendall(message(2, ref="a" * 16))
            half.sendall(message(1, ref="f" * 16)[50:])
            many.sendall(b"".join(message(n, ref=f"{n:016x}") for n in range(1, 9)))
            gone.sendall(message(1, ref="e" * 16))
            gone.close()
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                process.send_signal(number)
            process.send_signal(signal.SIGCONT)
            for one, numbers in ((rest, {2}), (half, {1}), (many, set(range(1, 9)))):
                got = b""
                while piece := one.recv(65536):
                    got += piece
                told = answers(got)
                assert numbers <= told.keys() and {len(told[n][1][0][1]) for n in numbers} == {200_000}
            said = process.communicate(timeout=10)[1]
            assert process.returncode == 0 and "lookups_held 0" in said and "Traceback" not in said
        finally:
            process.kill()
            process.wait()
            for one in held:
                one.close()
