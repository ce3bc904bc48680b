"""Errors that are reported to operators, by area: each class has a stable code and advice on what to do.

This package imports nothing else of hookrouter. docs/operate/errors.md lists all codes.
"""

AREAS = ("commands", "listening", "platform", "site", "stores", "wire")


class HookrouterError(Exception):
    """Base class; the exception text says what is wrong.

    code: a short name that is never reused for another error; exit_code: that of a command which it ends.
    """

    code = "trouble"
    advice = "check what the message names; if that is in order, report the message"
    exit_code = 1
    prefix = "hookrouter: "  # of the message that a command prints

    def user_message(self):
        """One line for an operator: what is wrong, what to do, and the code to look it up by."""
        return f"{self}; do: {self.advice} ({self.code})"


def errors_by_code():
    """All error classes of this package, sorted by code; loads every area."""
    from importlib import import_module

    for area in AREAS:
        import_module(f".{area}", __name__)
    found, kinds = {}, [HookrouterError]
    while kinds:
        kind = kinds.pop()
        kinds += kind.__subclasses__()
        if kind.__module__.startswith(__name__):
            assert kind.code not in found, kind.code
            found[kind.code] = kind
    return dict(sorted(found.items()))
