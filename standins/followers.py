"""Many followers of purges in one process, by the program's own feed and fence; what each knew when, as a
history.

    python -m standins.followers --site FILE --count 100 --history FILE [--forget SHARE] [--rude SHARE]
"""

import json
import signal
import sys
import time
from random import Random

import click
from twisted.internet import reactor

from hookrouter.feed.purges import PurgeFeed, steady
from hookrouter.purges.fence import CURRENT, Fence
from hookrouter.purges.place import Place
from hookrouter.purges.wire import MOST_IN_EVENT
from hookrouter.site import follows, read
from hookrouter.tables.deadlines import Deadlines

LOOK = 0.02  # seconds between looks whether each may answer
SPREAD = 0.0005  # seconds between two starts


class Follower(PurgeFeed):
    """desk of its own feed: a place, a fence, and rows of [wall ms, name, may answer, n, connected]."""

    def __init__(self, sections, name, history, dice, forget, rude, deadlines):
        purges = sections["purges"]
        super().__init__(
            reactor, deadlines, self, follows(purges), purges, name, lambda *a, **k: None, lambda what: None
        )
        if "admission" in sections and not rude:
            self.pace()
        self.fence, self.history, self.up, self.last_row = Fence(purges["lease"]), history, False, None
        self.dice, self.forget = dice, forget

    # ---- told by the feed

    def on_purges(self, purges):
        self.caught = len(purges) < MOST_IN_EVENT
        self.look()

    def on_snapshot(self, purges, newest):
        self.caught = True
        self.look()

    def on_grant(self, asked, wall, span, desk):
        self.fence.at(steady())
        self.fence.granted(asked, span)
        self.look()

    def lease_left(self):
        self.fence.at(steady())
        return self.fence.left()

    def on_event(self, stream, data):
        before, self.caught = self.place.position, False
        super().on_event(stream, data)
        caught = self.caught or self.place.position == before  # a beat: nothing is behind it
        if stream is self.stream and self.place.parts is None and caught and not self.up:
            self.up = True
            self.look()

    def on_disconnected(self, stream, why):
        if self.up:
            self.up = False
            if self.dice.random() < self.forget:  # as a router that was replaced
                seen, self.place = self.place.seen, Place()
                self.place.seen = seen
                self.fence = Fence(self.fence.lease)
            self.look()
        super().on_disconnected(stream, why)

    def look(self):
        self.fence.at(steady())
        row = self.fence.state == CURRENT, self.place.position.n, self.up
        if row != self.last_row:
            self.last_row = row
            self.history.write(json.dumps([int(time.time() * 1_000), self.name, *row]) + "\n")


class Desk:
    """Whom the feed tells: the follower itself, but for the names that mean something else there."""

    def __init__(self, follower):
        self.follower = follower

    def __getattr__(self, name):
        return getattr(self.follower, name)

    def on_epoch(self, epoch):
        """The feed keeps the epoch."""

    def acknowledged(self, n):
        return n, n


@click.command()
@click.option("--site", required=True)
@click.option("--count", default=100)
@click.option("--history", required=True)
@click.option("--forget", default=0.0, help="Share that has lost its place when its connection ends.")
@click.option("--rude", default=0.0, help="Share that comes as if nothing was told.")
@click.option("--prefix", default="f", help="Of the names.")
def main(site, count, history, forget, rude, prefix):
    sections, dice = read(site), Random(count)
    file = open(history, "w", encoding="utf-8", buffering=1)
    deadlines = Deadlines(reactor)
    followers = [
        Follower(sections, f"{prefix}{n:03d}", file, dice, forget, dice.random() < rude, deadlines)
        for n in range(count)
    ]
    for n, one in enumerate(followers):
        one.handler = Desk(one)
        if one.pacing is not None:
            one.pacing.lease_holder = one
        reactor.callLater(n * SPREAD, one.start)

    def look():
        for one in followers:
            one.look()
        reactor.callLater(LOOK, look)

    look()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    print("following", file=sys.stderr, flush=True)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
