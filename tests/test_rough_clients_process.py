"""Regular clients at the bounds of the protocol, beside bad ones and pauses of the process: no call is lost.

Seeded; real processes on loopback. Regular clients write in bursts and pieces, withdraw, and read late.
"""

import signal
import socket
import threading
import time
from random import Random

import pytest
from fleet import message
from processes import running_router
from protocol_client import LARGE, MAX_OPEN_CALLS, SILENT, ProtocolClient

DURATION = 5.0  # seconds
ALLOWED_MS = (20, 150, 400, 1_000)
LATE = 0.5  # seconds after its time that a call may still be answered
PAUSE = 0.3  # seconds that the process is stopped
REGULAR, BAD = 6, 3  # clients


def regular_client(client, end):
    """Lets a client act until the time `end`, then waits for its answers."""
    dice = client.dice
    while time.monotonic() < end and client.ended is None:
        room = MAX_OPEN_CALLS - len(client.open_calls)
        data = [
            client.next_call(dice.choice(("1", "2", "3", LARGE, SILENT)), dice.choice(ALLOWED_MS))
            for _ in range(min(room, dice.choice((0, 1, 3, room))))
        ]
        for _ in range(min(dice.randrange(4), len(client.open_calls))):
            data.append(client.next_withdrawal())
        write_in_pieces(client, b"".join(data))
        if dice.random() < 0.7:
            client.receive()
        time.sleep(dice.choice((0, 0, 0.001, 0.01, 0.2)))
    client.receive(max(ALLOWED_MS) / 1000 + LATE + PAUSE)


def write_in_pieces(client, data):
    """Writes whole, or cut in two at any byte."""
    cut = client.dice.randrange(len(data) + 1) if client.dice.random() < 0.5 else len(data)
    client.send(data[:cut])
    if cut < len(data):
        time.sleep(client.dice.choice((0, 0.005)))
        client.send(data[cut:])


def bad_client(port, seed, end):
    """Connects again and again and breaks the protocol in one way or another."""
    dice = Random(seed)
    calls = [message(n, part=SILENT, ref=f"{dice.getrandbits(64):016x}") for n in range(1, 201)]
    pairs = b"".join(call + message(0, b"interrupt", interrupted=n) for n, call in enumerate(calls, 1))
    forms = (b"\xff" * 300, pairs, b"".join(calls), calls[0] + calls[1][:-9], calls[0] + b"\xff" * 9, b"")
    while time.monotonic() < end:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            try:
                connection.sendall(dice.choice(forms))
                time.sleep(dice.choice((0, 0.05)))
            except OSError:
                pass  # ended by the router


def pauses(process, seed, end):
    """Stops and continues the process at random times."""
    dice = Random(seed)
    while time.monotonic() < end - 2 * PAUSE:
        time.sleep(dice.uniform(0.2, 1.0))
        process.send_signal(signal.SIGSTOP)
        time.sleep(dice.uniform(0, PAUSE))
        process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_call_of_a_regular_client_is_lost_beside_bad_clients_and_pauses(tmp_path, seed):
    with running_router(tmp_path) as (process, port):
        end = time.monotonic() + DURATION
        clients = [ProtocolClient(port, 100 * seed + number) for number in range(REGULAR)]
        threads = [threading.Thread(target=regular_client, args=(client, end)) for client in clients]
        threads += [
            threading.Thread(target=bad_client, args=(port, 100 * seed + number, end))
            for number in range(BAD)
        ]
        threads.append(threading.Thread(target=pauses, args=(process, seed, end)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for client in clients:
            client.socket.close()
        assert sum(len(client.made) for client in clients) > 1_000
        assert [(client.ended, client.unanswered()) for client in clients] == [(None, [])] * REGULAR
