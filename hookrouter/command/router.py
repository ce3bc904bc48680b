"""The commands serve, check and version, for one router."""

import gc
import os

import click

from .. import __version__
from ..terms import Malformed
from . import DONE, read_site, site_option


def reload_start(site_file):
    """Reads both files again for a reload; raises Malformed."""
    from ..node.start import read_start
    from ..site import InvalidSiteFile, read

    try:
        return read_start(os.environ, sections=read(site_file) if site_file else {})
    except InvalidSiteFile as error:
        raise Malformed("; ".join(error.lines)) from None


def sharing_member(reactor, log, sections, make_state):
    """Creates a member that serves lookups, importing only the parts in use.

    make_state(): the state that it shares with its zone, see Sharing; called only with [sharing].
    """
    from ..fleet.member.service import Member

    member = Member(reactor, log, sections, routes=True)
    if "sharing" in sections:
        from ..fleet.member.sharing import Sharing

        member.sharing = Sharing(reactor, log, sections["sharing"], member, make_state())
    return member


def member_of(reactor, log, sections, router):
    """Creates this router's fleet member with the parts that are configured."""

    def make_state():
        from ..node.shared_state import SharedState

        return SharedState(router)

    member = sharing_member(reactor, log, sections, make_state)
    if "spread" in sections:
        from ..fleet.member.spread import Spreading

        member.spread = Spreading(reactor, log, sections["spread"], member.sharing, router)
    if "warming" in sections:
        from ..fleet.member.warming import Warmer
        from ..node.warming_observer import WarmingObserver

        router.warming_observer = WarmingObserver(router)
        member.warming = Warmer(reactor, log, sections["warming"], member, router, router.warming_observer)
    return member


@click.command()
@site_option
@click.option(
    "--log-format", type=click.Choice(["text", "json"]), help="In place of the file's [log] format."
)
@click.pass_obj
def serve(signals, site_file, log_format):
    """Serve lookups until SIGTERM.

    Reads EDGE_NAME, EDGE_LISTEN and the file that EDGE_CONFIG names, that one again on SIGHUP.

    Example: EDGE_CONFIG=docs/example.json hookrouter serve
    """
    from ..node.signals import Signals
    from ..node.start import read_start

    signals = signals or Signals()  # before the slow imports, so no signal during them ends the process
    sections = read_site(site_file)
    start = read_start(os.environ, sections=sections)
    from ..clock import monotonic_reactor, watch_polls
    from ..log import Log
    from ..node.counters import Counters
    from ..node.router import Router
    from ..node.service import Service

    reactor = monotonic_reactor()
    log = Log(form=log_format or sections.get("log", {}).get("format", "text"))
    counters = Counters([kind.name for kind in start.terms.kinds])
    router = Router(start, reactor, log, counters)
    router.front.polls = watch_polls(reactor)
    member = member_of(reactor, log, sections, router) if "fleet" in sections else None
    gc.collect()
    gc.freeze()  # long-lived objects are exempt from later collections
    service = Service(router, start, reactor, log, counters, lambda: reload_start(site_file), member)
    raise SystemExit(service.run(signals))


@click.command()
@site_option
def check(site_file):
    """Read what serve reads, and say what is wrong with it.

    Example: EDGE_CONFIG=docs/example.json hookrouter check --site deploy/hookrouter.ini
    """
    from ..node.start import memory_shortage, read_start

    sections = read_site(site_file)
    start = read_start(os.environ, sections=sections)
    (host, port), (feed, feed_port) = start.listen, start.feed
    print(
        f"{start.name}: listens on {host}:{port}, follows {feed}:{feed_port}, "
        f"{len(start.terms.kinds)} object kinds, {len(start.known)} known events"
    )
    if sections:
        print(f"{site_file}: {', '.join(sections)}")
    if (shortage := memory_shortage(start)) is not None:
        print(shortage)
    raise SystemExit(DONE)


@click.command()
def version():
    """Print the version.

    Example: hookrouter version
    """
    print(f"hookrouter {__version__}")
