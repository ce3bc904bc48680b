"""A chart of who is back when, as SVG: admission beside its baselines.

python -m benchmarks.admission.chart docs/results/admission.svg
"""

import sys

from .storms import UP_AT, storm
from .world import SECOND

WIDE, HIGH, EDGE = 640, 320, 48
COUNT, SPAN = 300, 15 * SECOND
LINES = (
    ("gate", "#1b6ca8", "admission"),
    ("jitter", "#c98a1b", "full jitter"),
    ("naive", "#b3312c", "immediate return"),
)


def main(path):
    rows = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDE} {HIGH}" font-family="sans-serif" '
        f'font-size="12"><rect width="{WIDE}" height="{HIGH}" fill="white"/>'
    ]
    for number, (way, colour, label) in enumerate(LINES):
        world, _ = storm(1, COUNT, way=way)
        ends = sorted(at - UP_AT for at in world.is_back.values())
        points = []
        for at in range(0, SPAN + 1, 1_000):
            back = sum(end <= at for end in ends)
            points.append(
                f"{EDGE + at / SPAN * (WIDE - 2 * EDGE):.1f},"
                f"{HIGH - EDGE - back / COUNT * (HIGH - 2 * EDGE):.1f}"
            )
        rows.append(
            f'<polyline fill="none" stroke="{colour}" stroke-width="2" points="{" ".join(points)}"/>'
            f'<text x="{EDGE + 8}" y="{EDGE + 14 * number}" fill="{colour}">{label}</text>'
        )
    for second in range(0, SPAN // SECOND + 1, 3):
        x = EDGE + second * SECOND / SPAN * (WIDE - 2 * EDGE)
        rows.append(f'<text x="{x:.0f}" y="{HIGH - EDGE + 18}" text-anchor="middle">{second} s</text>')
    for share in (0, 0.5, 1):
        y = HIGH - EDGE - share * (HIGH - 2 * EDGE)
        rows.append(f'<text x="{EDGE - 6}" y="{y + 4:.0f}" text-anchor="end">{share * COUNT:.0f}</text>')
    rows.append(
        f'<text x="{WIDE / 2}" y="{HIGH - 8}" text-anchor="middle">subscribers back since the '
        f"gateway runs again, of {COUNT} (made-up fleet)</text></svg>"
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(rows) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
