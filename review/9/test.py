"""Purges by glob, half as many as the desk takes, and lookups of new objects: does the router stay in its memory?"""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import BROKEN, HELD, TROUBLE, free_port, main, new_object  # noqa: E402

MEMORY_MB = 192  # limits.memory_mb of the configuration; DEPLOY.md: over it the router is killed
# docs/operate/purges.md: what purges take "comes on top of the configuration's `memory_mb`": 4 MB, and as it fills 4 for
# names, 11 for slices, 12 for tags and 1 for 1,000 patterns; all of it is let through.
ON_TOP_MB = 4 + 4 + 11 + 12 + 2
GLOBS = 2_000  # the page lets 4,000 live
LOOKUPS, A_SECOND = 9_000, 170  # LATER.md: each of three routers receives up to 170 requests a second
SECRET = "review-of-purges-secret"


def resident_mb(process):
    """Resident memory of a process by the kernel."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) * 1024 / 1e6


async def submit(port, key, globs):
    """Submits purges to the desk; raises if they are not accepted."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps({"key": key, "purges": [{"sort": "glob", "what": glob} for glob in globs]}).encode()
    writer.write(
        f"POST /v1/purges HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer {SECRET}\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    )
    answer = await reader.read()
    writer.close()
    if b" 200 " not in answer[:20]:
        raise RuntimeError(f"the desk did not accept purges: {answer[:100]!r}")


async def play(rig):
    feed = await rig.add_feed()
    for name, role in (("c0", "edge"), ("c1", "edge"), ("p0", "parent"), ("o0", "origin")):
        await rig.add_cache(name, role)
    feed.tell_members([rig.row(name) for name in rig.caches], snapshot=True)
    secret = rig.temporary / "purges.secret"
    secret.write_text(SECRET)
    os.chmod(secret, 0o600)
    port = free_port()
    purges = f"[purges]\ndesk = 127.0.0.1:{port}\nsecret = {secret}\nlease = 2 s\nhold = 24 h\n"
    (rig.temporary / "router.ini").write_text(purges)
    desk = f"[desk]\nlisten = 127.0.0.1:{port}\nstore = {rig.temporary}/purges.db\n"
    (rig.temporary / "desk.ini").write_text(purges + desk)
    await rig.start_program(["purges", "serve", "--site", str(rig.temporary / "desk.ini")], "desk")
    await asyncio.sleep(1.5)
    router = await rig.start_router("n1", feed, site=rig.temporary / "router.ini")
    await asyncio.sleep(2)
    if TROUBLE:
        globs = [f"clip/*{number:03x}*" for number in range(GLOBS)]
        for start in range(0, GLOBS, 500):
            await submit(port, f"sheet-{start}", globs[start : start + 500])
        rig.record(f"{GLOBS} globs are accepted")
    await asyncio.sleep(3)
    client, outcomes, killed = await rig.client(router), {}, False
    started, asked, peak, tasks = time.time(), 0, 0.0, set()

    async def one():
        answer = await client.ask("clip", new_object(), allow=5000)
        outcomes[answer.outcome] = outcomes.get(answer.outcome, 0) + 1

    while asked < LOOKUPS and not killed:
        if client.ended:
            client = await rig.client(router)
        while asked < min(LOOKUPS, (time.time() - started) * A_SECOND) and len(client.waiting) < 30:
            asked += 1
            task = asyncio.ensure_future(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        resident = resident_mb(router)
        peak = max(peak, resident)
        if asked % 500 < 5:
            rig.record(f"{asked} lookups: {resident:.0f} MB resident")
        if resident > MEMORY_MB + ON_TOP_MB:
            rig.record(f"{resident:.0f} MB resident: the platform kills the router")
            router.send_signal(signal.SIGKILL)
            killed = True
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    rig.record.verdict(
        f"{asked} lookups, {peak:.0f} MB resident at the most, the limit is {MEMORY_MB} and {ON_TOP_MB} on top; "
        f"answers: {outcomes}{'; killed for its memory' if killed else ''}"
    )
    if not outcomes.get("served"):
        raise RuntimeError("nothing was served")
    return BROKEN if killed else HELD


def test_a_router_stays_in_its_memory_under_globs():
    """Runs the case and ends the process with its exit code; see run.sh."""
    main(Path(__file__).resolve().parent, play)


if __name__ == "__main__":
    test_a_router_stays_in_its_memory_under_globs()
