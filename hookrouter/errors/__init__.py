"""What goes wrong, by area: each kind with a code that stays, and a line on what an operator can do.

This package knows nothing of the rest. An area's kinds are loaded with it; docs/operate/errors.md lists all.
"""

AREAS = ("commands", "listening", "platform", "site", "stores", "wire")


class HookrouterError(Exception):
    """The text says what is wrong. code: short, never used for something else; exit: of a command it ends."""

    code = "trouble"
    advice = "look at what is named; if that is in order, report the line"
    exit_code = 1
    prefix = "hookrouter: "  # of what a command says

    def user_message(self):
        """One line for a person: what is wrong, what to do, and the code to look it up by."""
        return f"{self}; do: {self.advice} ({self.code})"


def errors_by_code():
    """All kinds, by code."""
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
