"""Errors in what the platform provides: environment variables and the file that EDGE_CONFIG names."""

from . import HookrouterError


class Malformed(HookrouterError, ValueError):
    """A variable, key or event with an invalid value; the text names it."""

    code = "platform-value"
    advice = (
        "correct that variable, or that key of the file that EDGE_CONFIG names; verify with hookrouter check"
    )
    exit_code = 2
