"""An answer whose length is too short, the rest some milliseconds later: is it kept and given to others?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, Copy, main, new_object  # noqa: E402

GAP_S = 0.005  # between the two writes of a spoilt answer
OBJECTS, SPOILT = 20, 4


async def play(rig):
    feed = await rig.add_feed()
    for name, role in (("c0", "edge"), ("c1", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    router = await rig.start_router("n1", feed)
    client = await rig.client(router)
    objects = [new_object() for _ in range(OBJECTS)]
    spoilt = set(objects[:SPOILT]) if TROUBLE else set()
    wholes = {}

    async def behave(cache, request):
        _, kind, obj, part, fields = request
        copy = wholes.setdefault(obj, Copy(rig.world, obj, part))
        if obj not in spoilt or fields["writer"] is None:
            return None
        spoilt.discard(obj)
        stated = len(copy.body) // 2
        rig.record(f"{cache.name} spoils its answer for {obj}: {len(copy.body)} bytes under a length of {stated}")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\nX-Rev: {copy.rev}\r\nX-Since-Ms: {copy.since}\r\n\r\n"
        writer = fields["writer"]
        writer.write(head.encode() + copy.body[:stated])
        await asyncio.sleep(GAP_S)
        writer.write(copy.body[stated:])
        return False

    for name in ("c0", "c1"):
        rig.caches[name].behave = behave
    wrong, served = 0, 0
    for _ in range(6):
        for obj in objects:
            if client.ended:
                client = await rig.client(router)
            sent_before = sum(len(cache.requests) for cache in rig.caches.values())
            answer = await client.ask("clip", obj)
            asked_cache = sum(len(cache.requests) for cache in rig.caches.values()) > sent_before
            if answer.outcome != "served" or asked_cache:
                continue  # what is passed on spoilt counts as failed
            served += 1
            if not answer.body.startswith(f"{obj}/0 version=".encode()) or not answer.body.endswith(b";"):
                wrong += 1
                rig.record(f"WRONG DATA: {obj} answered as served, without a send, with {answer.body!r}")
        await asyncio.sleep(0.5)
    rig.record.verdict(f"{served} served from the router's own copies, {wrong} of them cut off")
    if not served:
        raise RuntimeError("the router served nothing from copies of its own")
    return BROKEN if wrong else HELD


def test_own_copies_are_whole():
    """Runs the case and ends the process with its exit code; see run.sh."""
    main(Path(__file__).resolve().parent, play)


if __name__ == "__main__":
    test_own_copies_are_whole()
