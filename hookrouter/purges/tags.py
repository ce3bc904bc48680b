"""The tags of objects: from answers, the newest copy's, or all from a file. So many objects at most."""

MOST_TAGS = 32  # of one object
LONGEST_TAG = 64  # characters


def read_tags(text):
    """Tags of a field, apart by spaces or commas, or None where they are not usable: then any tag counts."""
    tags = tuple(dict.fromkeys(text.replace(",", " ").split()))
    if len(tags) > MOST_TAGS or any(len(tag) > LONGEST_TAG or not tag.isprintable() for tag in tags):
        return None
    return tags


def read_list(lines):
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
    def __init__(self, most):
        self.most, self.rows = most, {}  # object -> (made, tags), the last learned last

    def known(self, name):
        row = self.rows.get(name)
        return None if row is None else row[1]

    def learn(self, name, made, tags):
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

    def __init__(self, rows):
        self.rows = rows

    def known(self, name):
        return self.rows.get(name, ())

    def learn(self, name, made, tags):
        """The file is the truth."""
