"""What the platform gives a router: its variables, the file that EDGE_CONFIG names, the settings therein."""

from . import HookrouterError


class Malformed(HookrouterError, ValueError):
    """A variable, a key or an event that cannot be read; the text names it."""

    code = "platform-value"
    advice = "correct that variable, or that key of the file that EDGE_CONFIG names; hookrouter check tells"
    exit_code = 2
