"""Entry point of python -m hookrouter."""

import sys

from .node.signals import Signals


def main(arguments=None, signals=None):
    """Runs the command line; returns the exit code."""
    from .command import main as run

    return run(arguments, signals)


if __name__ == "__main__":
    # Signal handlers are installed before the slow imports, so that no signal during them ends a router.
    sys.exit(main(signals=Signals() if sys.argv[1:2] == ["serve"] else None))
