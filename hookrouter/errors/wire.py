"""Errors in bytes from other processes. Each affects only the connection that it came over."""

from . import HookrouterError


class MalformedThrift(HookrouterError, ValueError):
    """Invalid Thrift message; the text says what is wrong."""

    code = "wire-client"
    advice = "find the client: it speaks another protocol, or violates this one"


class TooManyMessages(MalformedThrift):
    """More messages at once than a client may have reason for; the text says how many."""

    code = "wire-flood"
    advice = "find the client: what it sends opens no call, and comes faster than it can be answered"


class MalformedHttp(HookrouterError, ValueError):
    """Invalid HTTP/1.1 response; the text says what is wrong."""

    code = "wire-answer"
    advice = "check the cache, desk or feed that is named"


class MalformedEvents(HookrouterError, ValueError):
    """Invalid event stream; the text says what is wrong."""

    code = "wire-events"
    advice = "check the control feed, or any proxy in front of it"


class MalformedPurges(HookrouterError, ValueError):
    """Invalid message about purges; the text says what is wrong."""

    code = "wire-purges"
    advice = "correct the caller, or its version: docs/operate/purges.md gives the format"


class MalformedSlice(MalformedPurges):
    """Bytes that are not the sealed slice of purges that was requested; the text says why."""

    code = "wire-slice"
    advice = "none needed: it was discarded and is fetched again; if it persists, check that desk or relay"


class MalformedFrame(HookrouterError, ValueError):
    """A frame between members that is rejected; the text says why."""

    code = "wire-member"
    advice = "check whether that address belongs to another fleet, or has another secret or version"


class DatagramTooLong(HookrouterError, ValueError):
    """A message does not fit in one datagram; nothing was sent."""

    code = "wire-long"
    advice = "report the message: a component exceeded its size limit"


class DutyLost(HookrouterError):
    """Another process owns the duty now; whether the request was carried out is unknown."""

    code = "duty-lost"
    advice = "ask again: the current owner of the duty knows what was done"


class UnusableList(HookrouterError, ValueError):
    """A list received from a neighbour that cannot be used; the text says why."""

    code = "wire-list"
    advice = "none needed: the list is ignored, those of others are used; if it persists, restart its sender"


class InvalidTicket(HookrouterError, ValueError):
    """A ticket that no gateway with this secret wrote for this name; its bearer is treated as having none."""

    code = "wire-ticket"
    advice = (
        "give all gateways of a location the same secret; if only one name is affected, check that follower"
    )
