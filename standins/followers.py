"""Runs many purge followers in one process, with the program's own feed and fence.

The history file gets a JSON line for each change of a follower's state.

    python -m standins.followers --site FILE --count 100 --history FILE [--forget SHARE] [--rude SHARE]
"""

import json
import signal
import sys
import time
from random import Random

import click
from twisted.internet import reactor

from hookrouter.clock import steady
from hookrouter.feed.purges import PurgeFeed
from hookrouter.purges.fence import CURRENT, Fence
from hookrouter.purges.place import Place
from hookrouter.purges.wire import MOST_IN_EVENT
from hookrouter.site import follow_addresses, read
from hookrouter.tables.deadlines import Deadlines

CHECK_INTERVAL = 0.02  # seconds between checks whether each follower may still answer
START_INTERVAL = 0.0005  # seconds between the starts of two followers


class Follower(PurgeFeed):
    """A purge feed that handles its own events; writes rows [wall ms, name, may answer, n, connected].

    forget: probability of losing its position when its connection ends. rude: without admission control.
    """

    def __init__(self, sections, name, history, rng, forget, rude, deadlines):
        purges = sections["purges"]
        super().__init__(
            reactor,
            deadlines,
            self,
            follow_addresses(purges),
            purges,
            name,
            lambda *arguments, **named: None,
            lambda what: None,
        )
        if "admission" in sections and not rude:
            self.pace()
        self.fence, self.history, self.connected, self.last_state = (
            Fence(purges["lease"]),
            history,
            False,
            None,
        )
        self.rng, self.forget_share = rng, forget

    # ---- calls of the feed

    def on_purges(self, purges):
        """Purges were received."""
        self.reached_end = len(purges) < MOST_IN_EVENT
        self.record_state()

    def on_snapshot(self, purges, newest):
        """A snapshot was received."""
        self.reached_end = True
        self.record_state()

    def on_grant(self, asked, wall, span, desk):
        """A lease renewal was answered."""
        self.fence.at(steady())
        self.fence.granted(asked, span)
        self.record_state()

    def lease_left(self):
        """Returns the remaining lease."""
        self.fence.at(steady())
        return self.fence.left()

    def on_event(self, stream, data):
        """Handles an event; the follower counts as connected once no more events are pending."""
        before, self.reached_end = self.place.position, False
        super().on_event(stream, data)
        reached_end = self.reached_end or self.place.position == before  # a heartbeat: no events are pending
        if stream is self.stream and self.place.parts is None and reached_end and not self.connected:
            self.connected = True
            self.record_state()

    def on_disconnected(self, stream, why):
        """Records the loss of the connection; a share of followers loses its position."""
        if self.connected:
            self.connected = False
            if self.rng.random() < self.forget_share:  # like a replaced router, which keeps only the epoch
                seen, self.place = self.place.seen, Place()
                self.place.seen = seen
                self.fence = Fence(self.fence.lease)
            self.record_state()
        super().on_disconnected(stream, why)

    def record_state(self):
        """Writes a row to the history if the state has changed."""
        self.fence.at(steady())
        state = self.fence.state == CURRENT, self.place.position.n, self.connected
        if state != self.last_state:
            self.last_state = state
            self.history.write(json.dumps([int(time.time() * 1_000), self.name, *state]) + "\n")


class FeedListener:
    """The listener of the feed: forwards to the follower, except for names with another meaning there."""

    def __init__(self, follower):
        self.follower = follower

    def __getattr__(self, name):
        return getattr(self.follower, name)

    def on_epoch(self, epoch):
        """Does nothing; the feed keeps the epoch."""

    def acknowledged(self, n):
        """Returns the number as the position applied and served from."""
        return n, n


@click.command()
@click.option("--site", required=True)
@click.option("--count", default=100)
@click.option("--history", required=True)
@click.option(
    "--forget", default=0.0, help="Share of followers that lose their position when the connection ends."
)
@click.option("--rude", default=0.0, help="Share of followers that ignore admission control.")
@click.option("--prefix", default="f", help="Prefix of the followers' names.")
def main(site, count, history, forget, rude, prefix):
    """Runs the followers until SIGTERM."""
    sections, rng = read(site), Random(count)
    file = open(history, "w", encoding="utf-8", buffering=1)
    deadlines = Deadlines(reactor)
    followers = [
        Follower(sections, f"{prefix}{n:03d}", file, rng, forget, rng.random() < rude, deadlines)
        for n in range(count)
    ]
    for n, follower in enumerate(followers):
        follower.handler = FeedListener(follower)
        if follower.pacing is not None:
            follower.pacing.lease_holder = follower
        reactor.callLater(n * START_INTERVAL, follower.start)

    def check_all():
        for follower in followers:
            follower.record_state()
        reactor.callLater(CHECK_INTERVAL, check_all)

    check_all()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    print("following", file=sys.stderr, flush=True)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
