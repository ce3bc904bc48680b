"""A purge during an outage of the control feed: does the router still answer from its own copy?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, dossier_settings, main, new_object, now_ms  # noqa: E402

TOLD_MS = 7_000  # PROTOCOL.md: counted as told no later than 7 s afterwards, whether it arrived or not
GRACE_MS, SLACK_MS = 500, 50  # purge_grace_ms of dossier-cache; every time limit is 50 ms longer
OUTAGE_S = 8.0  # STANDING.md: discovery is down for 8 s
OBJECTS = 12


async def play(rig):
    rig.settings, rig.fresh_ms = dossier_settings(), {"dossier-page": 8000}
    feed = await rig.add_feed()
    for name, role in (("c0", "edge"), ("c1", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    router = await rig.start_router("n1", feed)
    client = await rig.client(router)
    objects = [new_object() for _ in range(OBJECTS)]
    for _ in range(2):
        for obj in objects:
            answer = await client.ask("hearing-video", obj)
            if answer.outcome != "served":
                raise RuntimeError(f"not served before the trouble: {answer.outcome}")
    await asyncio.sleep(1)
    down_at = now_ms()
    if TROUBLE:
        rig.record("the feed is down")
        await feed.down()

    async def bring_back():
        await asyncio.sleep(OUTAGE_S)
        if TROUBLE:
            await feed.up()
            rig.record("the feed is up again")

    back = asyncio.ensure_future(bring_back())
    await asyncio.sleep(0.1)
    purged_at = int(now_ms())
    for obj in objects:
        rig.world.purge(obj, purged_at)
        feed.tell({"purge": {"key": obj, "at": purged_at}})
    bound = purged_at + TOLD_MS + GRACE_MS + SLACK_MS
    old_late, served = 0, 0
    while now_ms() < down_at + OUTAGE_S * 1000 + 1500:
        for obj in objects:
            if client.ended:  # an idle connection may be closed by either side
                client = await rig.client(router)
            sent = now_ms()
            answer = await client.ask("hearing-video", obj, allow=6000)
            if answer.outcome != "served" or sent <= bound:
                continue
            served += 1
            since = int(answer.body.split(b"since=")[1].split(b";")[0])
            if since < purged_at:
                old_late += 1
                rig.record(
                    f"OLD COPY: {obj} given out {purged_at - since} ms before the purge answers a request that was "
                    f"sent {sent - purged_at:.0f} ms after it"
                )
        await asyncio.sleep(0.03)
    await back
    rig.record.verdict(f"{served} served later than {bound - purged_at} ms after the purge, {old_late} from older copies")
    if not served:
        raise RuntimeError("nothing was served in the time that counts")
    return BROKEN if old_late else HELD


def test_own_copies_heed_purges_in_an_outage_of_the_feed():
    """Runs the case and ends the process with its exit code; see run.sh."""
    main(Path(__file__).resolve().parent, play)


if __name__ == "__main__":
    test_own_copies_heed_purges_in_an_outage_of_the_feed()
