"""The commands purges serve and relay, which run the purge desk and its relays."""

from .. import run_until, sections_of, site_option, tell_uncaught
from . import purges


def run(make_desk, listen, secret, takes_purges, log):
    """Listens and runs until SIGTERM or SIGINT; raises ListenRefused."""
    from twisted.internet.error import CannotListenError

    from ...clock import monotonic_reactor
    from ...desk.web import publisher_site
    from ...errors.listening import ListenRefused

    reactor = monotonic_reactor()
    tell_uncaught(log)
    desk = make_desk(reactor)
    host, port = listen
    try:
        port = reactor.listenTCP(
            port, publisher_site(desk, secret, takes_purges), backlog=512, interface=host
        )
    except CannotListenError as error:
        desk.stop()
        desk.store.release() if takes_purges else None
        raise ListenRefused(f"cannot listen: {error}") from None

    def shut_down():
        if not desk.stopped:
            log("stopping")
            port.stopListening()
            desk.stop().addBoth(lambda _: reactor.callLater(0.01, reactor.stop))

    desk.start()
    log(
        "serving purges",
        listens=f"{host}:{port.getHost().port}",
        epoch=desk.tail.epoch,
        newest=desk.tail.newest.n,
    )
    run_until(shut_down, reactor)
    log.close()


@purges.command("serve")
@site_option
def serve(site_file):
    """Run the desk: takes purges, keeps them, tells them to followers.

    Example: hookrouter purges serve --site site.ini
    """
    sections = sections_of(site_file, "purges", "desk")
    from ...desk.desk import Desk
    from ...desk.local_store import LocalStore
    from ...desk.reconnect_pacing import add_admission
    from ...log import Log

    log = Log(form=sections.get("log", {}).get("format", "text"))

    def make_desk(reactor):
        store = LocalStore(reactor, sections["desk"]["store"], sections["purges"])
        try:
            desk = Desk(reactor, log, sections["purges"], sections["desk"], store, store.read(0))
            return add_admission(desk, sections, "desk", log)
        except BaseException:
            store.release()
            raise

    run(make_desk, sections["desk"]["listen"], sections["purges"]["secret"], True, log)


@purges.command()
@site_option
def relay(site_file):
    """Run a relay: follows the desk, and tells on to the routers of a depot.

    Example: hookrouter purges relay --site relay.ini
    """
    sections = sections_of(site_file, "purges", "relay")
    from ...desk.reconnect_pacing import add_admission
    from ...desk.relay import Relay
    from ...log import Log
    from ...tables.deadlines import Deadlines

    log = Log(form=sections.get("log", {}).get("format", "text"))

    def make_desk(reactor):
        relay_desk = Relay(
            reactor, Deadlines(reactor), log, sections["purges"], sections["relay"], "admission" in sections
        )
        return add_admission(relay_desk, sections, sections["relay"]["name"], log)

    run(make_desk, sections["relay"]["listen"], sections["purges"]["secret"], False, log)
