"""A crowded control feed that begins each answer after 2.5 s: does the router ever hear that a cache drains?"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, main, new_object, now_ms  # noqa: E402

TOLD_MS = 7_000  # PROTOCOL.md: counted as told no later than 7 s afterwards, whether it arrived or not
GRACE_MS, SLACK_MS = 500, 50  # drain_grace_ms of spiz-depots; every time limit is 50 ms longer
FIRST_BYTE_S = 2.5  # of the crowded feed, from the request on; it accepts connections at once


async def play(rig):
    feed = await rig.add_feed()
    for name, role in (("c0", "edge"), ("c1", "edge"), ("c2", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    router = await rig.start_router("n1", feed)
    client = await rig.client(router)
    await client.ask("clip", new_object())
    await asyncio.sleep(1.5)
    # A new configuration moves discovery; the numbers go on, and the old address tells nothing more.
    second = await rig.add_feed()
    second.number, second.index, second.events = feed.number, feed.index, list(feed.events)
    second.delay_s = FIRST_BYTE_S if TROUBLE else 0.0
    rig.write_config("n1", second, router.port)
    rig.record("SIGHUP: discovery has moved")
    router.send_signal(signal.SIGHUP)
    await asyncio.sleep(1.5)
    await feed.down()
    second.tell_members([rig.row("c1", status="leaving")])
    drained_at = now_ms()
    bound = drained_at + TOLD_MS + GRACE_MS + SLACK_MS
    while now_ms() < bound + 6_000:
        if client.ended:
            client = await rig.client(router)
        await client.ask("clip", new_object())
        await asyncio.sleep(0.05)
    late = [request for request in rig.caches["c1"].requests if request[0] > bound]
    others = [r for name in ("c0", "c2") for r in rig.caches[name].requests if r[0] > bound]
    rig.record.verdict(
        f"later than {bound - drained_at:.0f} ms after the drain: {len(late)} requests to the draining cache, "
        f"{len(others)} to the others; the second feed was asked {second.asked} times"
    )
    if not others and not late:
        raise RuntimeError("nothing was sent in the time that counts")
    return BROKEN if late else HELD


main(Path(__file__).resolve().parent, play)
