"""python -m hookrouter: the router's command line."""

import argparse
import gc
import os
import sys

from . import __version__
from .terms import Malformed

WRONG_START = 2  # exit code: the environment or the configuration cannot be used


def read():
    from .node.start import read_start
    return read_start(os.environ)


def start_or_say():
    try:
        return read()
    except Malformed as wrong:
        print(f"hookrouter: {wrong}", file=sys.stderr)
        return None


def serve(options):
    from .node.signals import Signals
    signals = Signals()  # before all that takes time: none that comes meanwhile ends the process
    start = start_or_say()
    if start is None:
        return WRONG_START
    from twisted.internet import reactor

    from .node.counters import Counters
    from .node.log import Log
    from .node.router import Router
    from .node.service import Service
    log, counters = Log(), Counters([kind.name for kind in start.terms.kinds])
    router = Router(start, reactor, log, counters)
    gc.collect()
    gc.freeze()  # what is here now stays: later collections pass it over
    return Service(router, start, reactor, log, counters, read).run(signals)


def check(options):
    start = start_or_say()
    if start is None:
        return WRONG_START
    (host, port), (feed, feed_port) = start.listen, start.feed
    print(f"{start.name}: listens on {host}:{port}, follows {feed}:{feed_port}, "
          f"{len(start.terms.kinds)} object kinds, {len(start.known)} known events")
    return 0


def version(options):
    print(f"hookrouter {__version__}")
    return 0


def main(arguments=None):
    parser = argparse.ArgumentParser(prog="hookrouter", description="A traffic router for two-tier caches.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, call, text in (
            ("serve", serve, "serve lookups until SIGTERM; reads EDGE_NAME, EDGE_LISTEN and the file that "
                             "EDGE_CONFIG names, that one again on SIGHUP"),
            ("check", check, "read what serve reads, and say what is wrong with it"),
            ("version", version, "print the version")):
        commands.add_parser(name, help=text, description=text).set_defaults(call=call)
    options = parser.parse_args(arguments)
    return options.call(options)


if __name__ == "__main__":
    sys.exit(main())
