"""Acknowledges what was read at once, so that the peer's system holds nothing back.

A peer whose socket lacks TCP_NODELAY holds back a small write until all earlier ones are acknowledged (Nagle,
RFC 896), and the acknowledgement waits for the next request (RFC 9293, section 3.8.6.3). A second response
that was written long before would come right behind that request and pass for its answer.
"""

import socket
from typing import Any

QUICK_ACKNOWLEDGEMENT = getattr(socket, "TCP_QUICKACK", None)  # tcp(7): Linux only


def acknowledge_now(transport: Any) -> None:  # noqa: ANN401 Twisted's transports have no common static type
    """Sends a delayed acknowledgement; does nothing where the system has no way to."""
    if QUICK_ACKNOWLEDGEMENT is None:
        return
    try:
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, QUICK_ACKNOWLEDGEMENT, 1)
    except OSError:
        pass  # the connection has ended, which the next read reports, or the option is not supported
