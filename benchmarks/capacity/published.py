"""Figures of other results pages, read from their tables so that none is typed again."""

import re
from pathlib import Path

from .errors import UnreadableData

ROOT = Path(__file__).parents[2]
VIEW_PAGE = ROOT / "docs" / "results" / "view.md"
DETECTION = re.compile(r"^\| `detect_p50_s_1000`, `detect_p99_s_1000` \| ([\d.]+), ([\d.]+) \|", re.M)


def detection_s(page: Path = VIEW_PAGE) -> tuple[float, float]:
    """Seconds until a death is known at 1,000 members: the median and the 99th percentile, measured."""
    found = DETECTION.search(page.read_text())
    if found is None:
        raise UnreadableData(f"{page}: the row of detect_p50_s_1000 is missing")
    return float(found[1]), float(found[2])
