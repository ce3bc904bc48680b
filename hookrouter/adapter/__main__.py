"""python -m hookrouter.adapter: reads batches from standard input, writes replies to standard output."""

import sys

from .host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
