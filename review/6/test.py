"""A second copy of an answer, written 5 ms after it and held back by the system: who gets it?"""

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, main, new_object, now_ms  # noqa: E402

SECOND_COPY_S = 0.005  # from an answer to its second copy
SECOND_COPIES = 0.2  # share of the master's answers that a second copy follows
ORIGIN_MS = 19, 63  # origin_ms of spiz-depots: how long the master takes for an answer
PRODUCTS = 2  # that are held just now
PICKERS, HOLDS, PAUSE_S = 2, 500, 0.045  # handhelds; stock-holds of each; pause before its next one, at most


async def play(rig):
    feed = await rig.add_feed()
    for name, role in (("c0", "edge"), ("c1", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    made = {}  # idempotency key -> the answer that the master made for it

    async def behave(cache, request):
        """The master: each stock-hold has an answer of its own; a repeat of its key gets the same."""
        fields = request[4]
        writer, key = fields["writer"], fields["x-op-key"]
        # As the system has it for a program that does not ask for anything else.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        await asyncio.sleep(random.uniform(*ORIGIN_MS) / 1000)
        body = made.setdefault(key, f"hold {len(made)} of {request[2]} for key {key}".encode())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Rev: {len(made):016x}\r\n"
        answer = head.encode() + f"X-Since-Ms: {int(now_ms())}\r\n\r\n".encode() + body
        port = writer.get_extra_info("peername")[1]
        rig.record(f"master answers trace={fields['x-trace']} on connection {port}: {body.decode()}")
        writer.write(answer)
        if TROUBLE and random.random() < SECOND_COPIES:
            await asyncio.sleep(SECOND_COPY_S)
            rig.record(f"master writes a second copy of it on connection {port}")
            writer.write(answer)
        return False

    rig.origin.behave = behave
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    router = await rig.start_router("n1", feed)
    products = [new_object() for _ in range(PRODUCTS)]
    served, foreign = 0, 0

    async def pick():
        nonlocal served, foreign
        client = await rig.client(router)
        for _ in range(HOLDS):
            if client.ended:
                client = await rig.client(router)
            key = "%032x" % random.getrandbits(128)
            answer = await client.ask("stock-hold", random.choice(products), allow=3000, replay=key, body=b"1 piece")
            if answer.outcome == "served":
                served += 1
                if answer.body != made.get(key):
                    foreign += 1
                    rig.record(f"FOREIGN ANSWER for key {key}: served with {answer.body!r}")
            await asyncio.sleep(random.uniform(0, PAUSE_S))

    await asyncio.gather(*(pick() for _ in range(PICKERS)))
    rig.record.verdict(f"{served} stock-holds served, {foreign} of them with the answer to another one")
    if not served:
        raise RuntimeError("nothing was served")
    return BROKEN if foreign else HELD


def test_each_client_gets_the_answer_to_its_own_request():
    """Runs the case and ends the process with its exit code; see run.sh."""
    main(Path(__file__).resolve().parent, play)


if __name__ == "__main__":
    test_each_client_gets_the_answer_to_its_own_request()
