"""A control feed whose lines end by CR: does the router heed a drain that it has received whole?"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, main, new_object, now_ms  # noqa: E402

GRACE_MS, SLACK_MS = 500, 50  # drain_grace_ms of spiz-depots; every time limit is 50 ms longer


async def play(rig):
    feed = await rig.add_feed()
    feed.line_end = "\r" if TROUBLE else "\n"
    for name, role in (("c0", "edge"), ("c1", "edge"), ("c2", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    router = await rig.start_router("n1", feed)
    client = await rig.client(router)
    await client.ask("clip", new_object())
    late, others = [], 0
    for name in ("c1", "c2"):
        comments = feed.comments
        while feed.comments == comments:  # the event comes just after a comment
            await asyncio.sleep(0.005)
        feed.tell_members([rig.row(name, status="leaving")])
        told_at = now_ms()
        bound = told_at + GRACE_MS + SLACK_MS
        while now_ms() < bound + 1_500:
            if client.ended:
                client = await rig.client(router)
            await client.ask("clip", new_object())
            await asyncio.sleep(0.005)
        for request in rig.caches[name].requests:
            if request[0] > bound:
                late.append(request)
                rig.record(f"LATE: {name} got a request {request[0] - told_at:.0f} ms after the router was told")
        others += sum(request[0] > bound for request in rig.caches["c0"].requests)
        feed.tell_members([rig.row(name)])
        await asyncio.sleep(1.5)
    rig.record.verdict(
        f"later than {GRACE_MS + SLACK_MS} ms after the drains were told: {len(late)} requests to the draining "
        f"caches, {others} to the other one"
    )
    if not others:
        raise RuntimeError("nothing was sent in the time that counts")
    return BROKEN if late else HELD


main(Path(__file__).resolve().parent, play)
