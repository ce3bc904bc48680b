"""One request whose group is no number: does a purge of the group still reach the router's own copies?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, main, new_object, now_ms  # noqa: E402

GRACE_MS, SLACK_MS = 1_000, 50  # purge_grace_ms of spiz-depots; every time limit is 50 ms longer
GROUP = 17
OBJECTS = 10  # of that group
SPOILT = 2  # of them a bad client asks for once, before others do


async def play(rig):
    feed = await rig.add_feed()
    for name, role in (("c0", "edge"), ("c1", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    router = await rig.start_router("n1", feed)
    objects = [new_object() for _ in range(OBJECTS)]
    served_to_bad = 0
    if TROUBLE:
        bad = await rig.client(router)
        for obj in objects[:SPOILT]:
            rig.record(f"the bad client asks for {obj} with a group that is no number")
            served_to_bad += (await bad.ask("clip", obj, group="")).outcome == "served"
        bad.close()
    client = await rig.client(router)
    for _ in range(2):
        for obj in objects:
            answer = await client.ask("clip", obj, group=GROUP)
            if answer.outcome != "served":
                raise RuntimeError(f"not served before the purge: {answer.outcome}")
    await asyncio.sleep(0.5)
    purged_at = int(now_ms())
    for obj in objects:
        rig.world.purge(obj, purged_at)
    feed.tell({"purge": {"group": GROUP, "at": purged_at}})
    bound = now_ms() + GRACE_MS + SLACK_MS
    served = old_late = 0
    while now_ms() < bound + 10_000:
        for obj in objects:
            if client.ended:
                client = await rig.client(router)
            sent = now_ms()
            answer = await client.ask("clip", obj, group=GROUP)
            if answer.outcome != "served" or sent <= bound:
                continue
            served += 1
            since = int(answer.body.split(b"since=")[1].split(b";")[0])
            if since < purged_at:
                old_late += 1
                rig.record(
                    f"OLD COPY: {obj} given out {purged_at - since} ms before the purge of its group answers a "
                    f"request of a usual client that was sent {sent - purged_at:.0f} ms after it"
                )
        await asyncio.sleep(0.2)
    rig.record.verdict(
        f"usual clients: {served} served later than {GRACE_MS + SLACK_MS} ms after the purge, {old_late} from older "
        f"copies; the bad client was served {served_to_bad} times"
    )
    if not served:
        raise RuntimeError("nothing was served in the time that counts")
    return BROKEN if old_late else HELD


main(Path(__file__).resolve().parent, play)
