"""Tables of the page as Markdown, and the mark of a line that does not fit."""

from collections.abc import Iterable, Sequence

from .figures import Figure

FITS, DOES_NOT_FIT, NOT_KNOWN, UNBOUNDED = "fits", "**does not fit**", "not known", "no bound"
BOUNDED_CACHE = "a cache: fits"


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table of Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    for row in lines:
        if len(row) != len(heads):
            raise ValueError(f"{len(row)} cells in a table of {len(heads)}: {row}")
    return "\n".join("| " + " | ".join(row) + " |" for row in lines)


def verdict(value: Figure, most: float) -> str:
    """Whether it fits its budget: a lower bound that is under it is not known to."""
    if not value.known:
        return NOT_KNOWN
    if value.value > most:
        return DOES_NOT_FIT
    return NOT_KNOWN if value.missing else FITS
