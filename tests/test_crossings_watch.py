"""The feed connection and the shutdown, at the moment of input, ends and signals, on real sockets."""

import json
import os
import signal
import socket

import pytest
from crossings import CALL, LOCAL, RouterMachine, StandIn, event, sockets_for
from fleet import answer, answers, configuration, endpoint, members, message
from processes import BackgroundServer, FeedStandIn, start_router
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from standins.ports import free_port

# ---- the feed connection


def stream_of(machine):
    return machine.router.feed.stream


@pytest.mark.parametrize("late", ["byte", "end", "up"])
@pytest.mark.parametrize("new", ["waits", "is up"])
def test_what_is_late_of_an_old_watch_takes_nothing_from_the_new_one(tmp_path, late, new):
    """Twisted calls a protocol no more after its end, so the test makes the late calls itself."""
    with RouterMachine(tmp_path) as machine:
        first = machine.start_feed()
        old, transport = stream_of(machine), stream_of(machine).transport
        first.fin()
        machine.until(lambda: stream_of(machine) is None)
        if new == "is up":
            second = machine.accept_feed(machine.feed, 1, 0.5)
        if late == "byte":
            old.dataReceived(b": late\n\n")
        elif late == "end":
            old.connectionLost(Failure(ConnectionDone()))
        else:
            old.makeConnection(transport)
        if new == "is up":
            machine.advance(0.5)
            assert len(machine.feed.peers) == 2 and stream_of(machine) is not None
            second.send(event({"n": 2, "purge": {"group": 1, "at": 1_700_000_000_000}}))
            machine.turns()
            assert machine.router.feed.last_number == 2
            machine.advance(1.9)  # silent: closed by its own timer
            assert second.read() and second.end
        machine.accept_feed(machine.feed, 1 + (new == "is up"), 0.5)


@pytest.mark.parametrize("cut", ["fin", "reset", "silent"])
def test_half_an_event_is_told_once_it_came_whole(tmp_path, cut):
    with RouterMachine(tmp_path) as machine:
        told = event(members(2, endpoint("c0", machine.caches["c0"].port, status="leaving")))
        first = machine.start_feed()
        for byte in told[:-1]:
            first.send(bytes([byte]))
            machine.reads()
        if cut == "silent":
            machine.advance(1.9)
        else:
            getattr(first, cut)()
        second = machine.accept_feed(machine.feed, 1, 0.5)
        assert machine.router.feed.last_number == 1 and b"Last-Event-ID: 1\r\n" in second.got
        second.send(told + told)
        machine.turns()
        assert machine.router.feed.last_number == 2 and machine.counters.values["feed_events"] == 1


@pytest.mark.parametrize("dial", ["held", "up"])
def test_a_reload_that_moves_the_feed_while_a_dial_is_out(tmp_path, dial):
    with RouterMachine(tmp_path) as machine:
        there, ports = StandIn(), {machine.feed.port}
        machine.reactor.held_ports = ports
        machine.router.feed.start()
        machine.turns()
        service = machine.service(lambda: machine.start._replace(feed=(LOCAL, there.port), known=[]))
        if dial == "up":  # the connect is answered at the moment of the signal
            machine.reactor.held_ports = set()
        service.reload()
        peer = machine.accept_feed(there, 0, 0.5)
        machine.reactor.held_ports = set()
        machine.advance(1.0)
        assert len(there.peers) == 1 and peer.end is None
        machine.feed.look()
        assert all(old.end for old in machine.feed.peers)  # no connection stays at the old address
        there.close()


@pytest.mark.parametrize("refused", [0.3, 3.0])
def test_a_feed_that_returns_is_followed_soon_also_where_idle_clients_hold_all_descriptors(tmp_path, refused):
    with RouterMachine(tmp_path, sockets=sockets_for(caches=4)) as machine:
        first = machine.start_feed()
        while len(machine.clients) < machine.router.front.connections.size:
            machine.client().send(message(1, b"check"))
        machine.clients[0].send(
            b"".join(message(n, ref=f"{n:016x}", lookup=f"{n:016x}") for n in range(2, 7))
        )
        machine.until(lambda: machine.gauges()["connections_held"] == 4)
        port = machine.feed.port
        machine.feed.close()
        machine.advance(refused)
        assert stream_of(machine) is None and first.socket.fileno() < 0
        machine.feed = StandIn(port)
        machine.accept_feed(machine.feed, 0, 0.5)


# ---- shutdown


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
    with RouterMachine(tmp_path) as machine:
        client, call, feed = machine.client(), message(8, ref=CALL, allow="3000"), machine.start_feed()
        service = machine.service(lambda: machine.start._replace(known=[]))
        machine.reactor.held_ports = (
            {cache.port for cache in machine.caches.values()} if case == "a dial is out" else set()
        )
        client.send(call[:50] if case == "half a frame" else call)
        if case == "a watch is down":
            machine.feed.close()
        machine.turns()
        service.stop()
        if case == "twice":
            machine.advance(0.1)
            service.stop()
        elif case == "with a reload":
            service.reload()
        elif case == "a list":
            feed.send(event(members(2, endpoint("c0", machine.caches["c0"].port, status="left"))))
        elif case.startswith("a cache's"):
            getattr(machine.unanswered()[0], {"a cache's end": "fin", "a cache's reset": "reset"}[case])()
        machine.advance(0.3)
        if case == "half a frame":
            client.send(call[50:])
        machine.reactor.held_ports = set()
        machine.answer(b"whole")
        machine.advance(2.5)
        assert client.ended_cleanly() and client.body(8) == b"whole"
        assert machine.reactor.stops == 1 and machine.counters.values["reloads"] == 0
        assert machine.gauges()["lookups_held"] == machine.gauges()["clients_held"] == 0


@pytest.mark.parametrize("how", ["fin", "reset", "interrupt"])
def test_a_client_that_goes_after_sigterm_does_not_hold_the_exit_up(tmp_path, how):
    with RouterMachine(tmp_path) as machine:
        client = machine.client()
        client.send(message(8, ref=CALL, allow="4000"))
        machine.until(machine.unanswered)
        machine.service().stop()
        machine.advance(0.3)
        machine.end_unread(client, how)
        machine.advance(1.0)
        if how == "interrupt":  # it is closed with the idle ones
            assert client.ended_cleanly()
            client.socket.close()
            machine.advance(0.1)
        assert machine.reactor.stops == 1 and machine.attempts(CALL) == ["c0"]
        machine.assert_nothing_pending()


class Large(FeedStandIn):
    def handle(self):
        while self.request.recv(65536):
            self.request.sendall(answer(200, b"x" * 200_000))


def test_signals_and_bytes_that_came_in_a_pause_end_a_process_that_answers_all(tmp_path):
    """The process is stopped, gets its input and signals, and is continued: all of it is pending when it
    wakes.
    """
    with BackgroundServer(Large) as cache, BackgroundServer(FeedStandIn) as feed:
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
        process, port = start_router(path)
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
