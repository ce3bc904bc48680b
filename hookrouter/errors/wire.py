"""Bytes from others that are not what they should be. Each touches its own connection only."""

from . import HookrouterError


class MalformedThrift(HookrouterError, ValueError):
    """These bytes are no such message; the text says what was wrong."""

    code = "wire-client"
    advice = "find the client: it speaks another protocol, or breaks this one"


class MalformedHttp(HookrouterError, ValueError):
    """This is no answer in HTTP/1.1; the text says what was wrong."""

    code = "wire-answer"
    advice = "look at the cache, desk or feed that is named"


class MalformedEvents(HookrouterError, ValueError):
    """This is no stream of events; the text says what was wrong."""

    code = "wire-events"
    advice = "look at the control feed, or at what stands before it"


class MalformedPurges(HookrouterError, ValueError):
    """These bytes are not what was asked for; the text says what is wrong."""

    code = "wire-purges"
    advice = "correct the caller, or its version: docs/operate/purges.md has the form"


class MalformedSlice(MalformedPurges):
    """These bytes are not the sealed slice of purges that was asked for; the text says why."""

    code = "wire-slice"
    advice = (
        "none is needed: it was put aside and is fetched again; if it goes on, look at that desk or relay"
    )


class MalformedFrame(HookrouterError, ValueError):
    """A frame that is not read; the text says why."""

    code = "wire-member"
    advice = "look for another fleet, another secret or another version at that address"


class DatagramTooLong(HookrouterError, ValueError):
    """More than fits in one datagram; nothing was sent."""

    code = "wire-long"
    advice = "report the line: a part of the program has said more than it may"


class DutyLost(HookrouterError):
    """The duty for which it was asked is another's now; whether it was done is not known."""

    code = "duty-lost"
    advice = "ask again: whoever owns the duty now knows what was done"


class UnusableList(HookrouterError, ValueError):
    """A list that a neighbour lent and that cannot be used; the text says why."""

    code = "wire-list"
    advice = "none is needed: the list was put aside, the others' are used; if it goes on, restart its lender"


class InvalidTicket(HookrouterError, ValueError):
    """No ticket that a gateway of this secret wrote for this name; its bearer counts as one without."""

    code = "wire-ticket"
    advice = "give all gateways of a place one secret; where one name alone shows it, look at that follower"
