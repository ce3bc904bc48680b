"""Tables for people: formatted by rich on a terminal, tab-separated columns in a pipe."""

import sys


def table(headers, rows):
    """Prints a table."""
    if sys.stdout.isatty():
        from rich.console import Console
        from rich.table import Table

        grid = Table(*headers)
        for row in rows:
            grid.add_row(*map(str, row))
        Console().print(grid)
        return
    for row in (headers, *rows):
        print("\t".join("" if value is None else str(value) for value in row))
