"""Addresses at which something listens."""

from . import HookrouterError


class ListenRefused(HookrouterError):
    """It cannot listen there; the text is the system's."""

    code = "listen-refused"
    advice = "free that address, or name one of this machine: EDGE_LISTEN, or listen in the operator's file"
