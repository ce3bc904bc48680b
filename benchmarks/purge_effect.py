"""Fifty followers in one reactor: from a submission to applied by all, and the same events sent bare."""

import json
import statistics
import sys
import tempfile
import time

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater

from hookrouter.feed.caller import Caller
from hookrouter.feed.purges import PurgeFeed
from hookrouter.site import read
from hookrouter.tables.deadlines import Deadlines

from .purges import SECRET, Desk

GAP = 0.02  # seconds between submissions: no burst, so a wait for the one before does not count


class Follower:
    """Told by a PurgeFeed; tells the count what it applied."""

    def __init__(self, count):
        self.count = count

    def heard(self, epoch):
        pass

    def purged(self, purges):
        for purge in purges:
            self.count.applied(purge.what)

    def whole(self, purges, newest):
        pass

    def granted(self, *args):
        pass

    def place(self, n):
        return n, n


class Count:
    def __init__(self, followers):
        self.followers, self.left, self.done = followers, 0, None

    def expect(self):
        self.left, self.done = self.followers, Deferred()
        return self.done

    def applied(self, what):
        self.left -= 1
        if self.left == 0:
            self.done.callback(None)


class Bare(Protocol):
    """Sends what comes in to all that are connected, and nothing else."""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.factory.all.append(self)

    def dataReceived(self, data):
        for one in self.factory.all:
            one.transport.write(data)


class Heard(Protocol):
    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        self.factory.count.applied(data)


@inlineCallbacks
def timed(count, submit, times):
    took = []
    for n in range(times + 5):
        done, began = count.expect(), time.perf_counter()
        submit(n)
        yield done
        took.append((time.perf_counter() - began) * 1_000)
        yield deferLater(reactor, GAP, lambda: None)
    return sorted(took[5:])  # the first few open connections


@inlineCallbacks
def measure(times, followers):
    folder = tempfile.mkdtemp(prefix="purges-")
    desk, deadlines, count = Desk(folder), Deadlines(reactor), Count(followers)
    desk.start()
    purges = read(f"{folder}/site.ini")["purges"]
    feeds = [PurgeFeed(reactor, deadlines, Follower(count), ("127.0.0.1", desk.port), purges, f"f{n}",
                       lambda *args, **more: None, lambda name: None) for n in range(followers)]
    for feed in feeds:
        feed.start()
    caller = Caller(reactor, deadlines, ("127.0.0.1", desk.port))
    yield deferLater(reactor, 1.5, lambda: None)

    def submit(n):
        body = json.dumps({"key": f"k{n}", "purges": [{"sort": "object", "what": f"o{n}"}]}).encode()
        caller.start(b"POST", b"/v1/purges", [(b"Authorization", b"Bearer " + SECRET.encode())], body, 5.0)

    took = yield timed(count, submit, times)
    for feed in feeds:
        feed.stop()
    caller.stop()
    desk.kill(15)

    factory, bare_count = Factory.forProtocol(Bare), Count(followers)
    factory.all = []
    # In a process of its own as the desk is: this file again, with a port to listen on.
    import subprocess
    server = subprocess.Popen([sys.executable, "-m", "benchmarks.purge_effect", "bare"],
                              stdout=subprocess.PIPE,
                              text=True)
    port = int(server.stdout.readline())
    heard = Factory.forProtocol(Heard)
    heard.count, heard.noisy = bare_count, False
    from twisted.internet.endpoints import TCP4ClientEndpoint
    for _ in range(followers):
        yield TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect(heard)
    sender = Factory.forProtocol(Protocol)
    sender.noisy = False
    feeder = yield TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect(sender)
    bare = yield timed(bare_count, lambda n: feeder.transport.write(b'{"key": "k%d", "what": "o%d"}' % (n,
                                                                                                        n)),
                       times)
    server.kill()
    server.wait()

    def p99(values):
        return round(values[int(len(values) * 0.99)], 2)

    print(json.dumps({"effect_p99_ms": p99(took), "bare_p99_ms": p99(bare),
                      "effect_p50_ms": round(statistics.median(took), 2),
                      "bare_p50_ms": round(statistics.median(bare), 2)}))


def main():
    if sys.argv[1] == "bare":
        factory = Factory.forProtocol(Bare)
        factory.all = []
        print(reactor.listenTCP(0, factory, interface="127.0.0.1").getHost().port, flush=True)
        reactor.callLater(300, reactor.stop)
        reactor.run()
        return
    measure(int(sys.argv[1]), int(sys.argv[2])).addErrback(lambda failure: print(failure, file=sys.stderr)
                                                           ).addBoth(lambda _: reactor.stop())
    reactor.run()


if __name__ == "__main__":
    main()
