"""The command fleet serve, which runs a member."""

from ...errors.listening import ListenRefused
from .. import run_until, sections_of, site_option, tell_uncaught
from . import fleet

LEAVE_DELAY = 0.2  # seconds for the messages that this member leaves


@fleet.command()
@site_option
def serve(site_file):
    """Run a member; one of the keepers where the file names it among them.

    Example: hookrouter fleet serve --site site.ini
    """
    sections = sections_of(site_file, "fleet")
    from twisted.internet.error import CannotListenError

    from ...clock import monotonic_reactor
    from ...fleet.member.service import Member
    from ...log import Log

    log = Log(form=sections.get("log", {}).get("format", "text"))

    reactor = monotonic_reactor()
    tell_uncaught(log)
    member = Member(reactor, log, sections)
    try:
        member.start()
    except CannotListenError as error:
        member.end()
        raise ListenRefused(f"cannot listen: {error}") from None

    def shut_down():
        if not member.holder.leaving:
            log("stopping")
            member.leave()
            reactor.callLater(LEAVE_DELAY, member.end)
            reactor.callLater(LEAVE_DELAY + 0.1, reactor.stop)

    log("member serves", name=member.name, keeper=member.keeper is not None)
    run_until(shut_down, reactor)
    log.close()
