"""What commands show to people: by rich on a terminal, plain columns in a pipe."""

import sys


def table(heads, rows):
    if sys.stdout.isatty():
        from rich.console import Console
        from rich.table import Table

        made = Table(*heads)
        for row in rows:
            made.add_row(*map(str, row))
        Console().print(made)
        return
    for row in (heads, *rows):
        print("\t".join("" if value is None else str(value) for value in row))
