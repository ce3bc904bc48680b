"""What commits cost at a desk of its own and at three keepers, and what catching up costs them."""

import sys
import tempfile
import threading
import time
from pathlib import Path

from standins.ports import free_port
from standins.rig import Rig, holder

from ..owners.costs import at
from .campaign import caught_up
from .clients import SECRET, Client


def commits(client, count):
    """Seconds of each of so many submissions, one after the other."""
    spans = []
    for n in range(count):
        began, ended, _, _ = client.submit(f"c{time.monotonic_ns()}-{n}", f"c{n}")
        spans.append(ended - began)
    return sorted(spans)


def alone(folder, count):
    """The same at a desk of its own, `purges serve`."""
    import subprocess

    port = free_port()
    path = Path(folder) / "desk.ini"
    secret = Path(folder) / "desk-secret"
    secret.write_text(SECRET)
    secret.chmod(0o600)
    path.write_text(
        f"[purges]\ndesk = 127.0.0.1:{port}\nsecret = desk-secret\n"
        f"[desk]\nlisten = 127.0.0.1:{port}\nstore = alone.db\n"
    )
    desk = subprocess.Popen(
        [sys.executable, "-m", "hookrouter", "purges", "serve", "--site", str(path)],
        stderr=subprocess.DEVNULL,
    )
    try:
        client = Client([("127.0.0.1", port)])
        client.submit("first", "first")
        return commits(client, count)
    finally:
        desk.kill()
        desk.wait()


def catching_up(missing, count):
    """Three keepers; one is away while so many purges come. Times of commits alone, whole and while it
    catches up, and how long that takes.
    """
    with tempfile.TemporaryDirectory() as folder:
        single = alone(folder, count)
        rig = Rig(folder, keepers=3, purges=True)
        try:
            rig.start()
            owner = rig.wait(lambda: holder(rig, "purges"))
            client = Client([("127.0.0.1", rig.desk_ports[owner])])
            client.submit("first", "first")
            three = commits(client, count)
            lead = rig.status()["leader"]
            away = next(name for name in rig.keepers if name not in (owner, lead))
            rig.kill(away)
            began = time.monotonic()
            for k in range(0, missing, 1_000):
                client.submit(f"many-{k}", *(f"m{n}" for n in range(k, k + 1_000)))
            filled = time.monotonic() - began
            two = commits(client, count)
            newest = rig.status()["keepers"][owner]["orders"][0][2]
            rig.start(away)
            began, spans = time.monotonic(), []

            def whole():
                return caught_up(rig.status()["keepers"].get(away), newest)

            done = threading.Event()

            def foreground():
                while not done.is_set():
                    spans.extend(commits(client, 1))

            thread = threading.Thread(target=foreground)
            thread.start()
            came = rig.wait(whole, 120)
            took = time.monotonic() - began
            done.set()
            thread.join(30)
        finally:
            rig.stop()
    spans.sort()
    return {
        "commit_alone_p50_ms": at(single, 0.5),
        "commit_p50_ms": at(three, 0.5),
        "commit_p99_ms": at(three, 0.99),
        "commit_p50_ratio_3": round(at(three, 0.5) / at(single, 0.5), 2),
        "missing": missing,
        "filled_s": round(filled, 2),
        "catch_up_s": round(took, 2) if came else None,
        "foreground_p99_ms": at(spans, 0.99),
        "foreground_p99_before_ms": at(two, 0.99),
        "foreground_p99_ratio": round(at(spans, 0.99) / at(two, 0.99), 2),
    }
