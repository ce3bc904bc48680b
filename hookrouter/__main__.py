"""python -m hookrouter: the command line."""

import sys

from .node.signals import Signals


def main(arguments=None, signals=None):
    from .command import main as run

    return run(arguments, signals)


if __name__ == "__main__":
    # Before all that takes time, the command line's own library too: no signal that comes meanwhile ends a
    # router.
    sys.exit(main(signals=Signals() if sys.argv[1:2] == ["serve"] else None))
