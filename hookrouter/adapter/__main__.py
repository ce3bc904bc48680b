"""python -m hookrouter.adapter: batches on standard input, replies on standard output."""

import sys

from .host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
