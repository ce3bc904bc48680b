"""Errors of listening addresses."""

from . import HookrouterError


class ListenRefused(HookrouterError):
    """The system refused to listen at an address; the text is the system's."""

    code = "listen-refused"
    advice = "free that address, or set one of this machine: EDGE_LISTEN, or listen in the operator's file"
