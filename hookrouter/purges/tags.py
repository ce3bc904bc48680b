"""The tags of objects: from answers, the newest copy's, or all from a file. So many objects at most."""

from collections.abc import Iterable, Mapping

MOST_TAGS = 32  # of one object
LONGEST_TAG = 64  # characters


def read_tags(text: str) -> tuple[str, ...] | None:
    """Tags of a field, apart by spaces or commas, or None where they are not usable: then any tag counts."""
    tags = tuple(dict.fromkeys(text.replace(",", " ").split()))
    if len(tags) > MOST_TAGS or any(len(tag) > LONGEST_TAG or not tag.isprintable() for tag in tags):
        return None
    return tags


def read_list(lines: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """object -> its tags, from lines of an object and its tags. ValueError names the line that cannot be
    used.
    """
    rows = {}
    for number, line in enumerate(lines, 1):
        name, _, rest = line.strip().partition(" ")
        if not name or name.startswith("#"):
            continue
        tags = read_tags(rest)
        if tags is None:
            raise ValueError(f"line {number}: {MOST_TAGS} tags of {LONGEST_TAG} characters at most")
        if name in rows:
            raise ValueError(f"line {number}: {name[:LONGEST_TAG]} is listed twice")
        rows[name] = tags
    return rows


class Tags:
    """From answers: those that the newest copy named, of the objects learned last."""

    def __init__(self, most: int) -> None:
        """most: objects whose tags are remembered."""
        self.most, self.rows = most, {}  # object -> (made, tags), the last learned last

    def known(self, name: str) -> tuple[str, ...] | None:
        """None where they are not remembered."""
        row = self.rows.get(name)
        return None if row is None else row[1]

    def learn(self, name: str, made: int, tags: tuple[str, ...]) -> None:
        """The tags that a copy of that time named; an older copy's change nothing."""
        row = self.rows.pop(name, None)
        if row is not None and row[0] > made:
            self.rows[name] = row
            return
        if not self.most:
            return
        if len(self.rows) >= self.most:
            del self.rows[next(iter(self.rows))]
        self.rows[name] = made, tags


class Listed:
    """From a file: what is not listed has no tags."""

    def __init__(self, rows: Mapping[str, tuple[str, ...]]) -> None:
        """rows: object -> its tags."""
        self.rows = rows

    def known(self, name: str) -> tuple[str, ...]:
        """Always known."""
        return self.rows.get(name, ())

    def learn(self, name: str, made: int, tags: tuple[str, ...]) -> None:
        """The file is the truth."""
