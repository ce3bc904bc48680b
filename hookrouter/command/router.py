"""serve, check and version: one router."""

import gc
import os

import click

from .. import __version__
from ..terms import Malformed
from . import DONE, read_site, site_option


def read_again(site_file):
    """Both files as they are now, for a reload; Malformed names what cannot be used."""
    from ..node.start import read_start
    from ..site import InvalidSiteFile, read

    try:
        return read_start(os.environ, sections=read(site_file) if site_file else {})
    except InvalidSiteFile as wrong:
        raise Malformed("; ".join(wrong.lines)) from None


def sharing_member(reactor, log, sections, make_state):
    """A member that routes; make_state(): what it shares with its zone, see Sharing, called with [sharing]
    only. Both are imported only where they are on.
    """
    from ..fleet.member.service import Member

    member = Member(reactor, log, sections, routes=True)
    if "sharing" in sections:
        from ..fleet.member.sharing import Sharing

        member.sharing = Sharing(reactor, log, sections["sharing"], member, make_state())
    return member


def member_of(reactor, log, sections, router):
    """This router's part in its fleet."""

    def told():
        from ..node.shared_state import SharedState

        return SharedState(router)

    member = sharing_member(reactor, log, sections, told)
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

    signals = signals or Signals()  # before all that takes time: none that comes meanwhile ends the process
    sections = read_site(site_file)
    start = read_start(os.environ, sections=sections)
    from twisted.internet import reactor

    from ..log import Log
    from ..node.counters import Counters
    from ..node.router import Router
    from ..node.service import Service

    log = Log(form=log_format or sections.get("log", {}).get("format", "text"))
    counters = Counters([kind.name for kind in start.terms.kinds])
    router = Router(start, reactor, log, counters)
    member = member_of(reactor, log, sections, router) if "fleet" in sections else None
    gc.collect()
    gc.freeze()  # what is here now stays: later collections pass it over
    service = Service(router, start, reactor, log, counters, lambda: read_again(site_file), member)
    raise SystemExit(service.run(signals))


@click.command()
@site_option
def check(site_file):
    """Read what serve reads, and say what is wrong with it.

    Example: EDGE_CONFIG=docs/example.json hookrouter check --site deploy/hookrouter.ini
    """
    from ..node.start import read_start

    sections = read_site(site_file)
    start = read_start(os.environ, sections=sections)
    (host, port), (feed, feed_port) = start.listen, start.feed
    print(
        f"{start.name}: listens on {host}:{port}, follows {feed}:{feed_port}, "
        f"{len(start.terms.kinds)} object kinds, {len(start.known)} known events"
    )
    if sections:
        print(f"{site_file}: {', '.join(sections)}")
    raise SystemExit(DONE)


@click.command()
def version():
    """Print the version.

    Example: hookrouter version
    """
    print(f"hookrouter {__version__}")
