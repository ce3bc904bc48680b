"""Delay of news against peak over mean, a line for each way: table and SVG under docs/results/."""

from pathlib import Path

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "spread"  # the same file each time
from matplotlib import pyplot  # noqa: E402

RESULTS = Path(__file__).parents[2] / "docs" / "results"


def table(rows):
    """Lines of Markdown."""
    lines = [
        "| way | news, s old | peak over mean | herd, 99 in 100 | swing | idle | served | missed |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row['way']} | {row['delay']:g} | {row['peak_over_mean']:.2f} | {row['herd_99']:.2f} | "
            f"{row['swing']:.2f} | {row['idle_caches']} | {row['served']:.3f} | {row['miss_share']:.3f} |"
        )
    return lines


def draw(rows, name="spread"):
    figure, axes = pyplot.subplots(figsize=(8, 5))
    for way in dict.fromkeys(row["way"] for row in rows):
        points = sorted((row["delay"], row["peak_over_mean"]) for row in rows if row["way"] == way)
        if len(points) == 1:
            points = [points[0], (5.0, points[0][1])]
        heavy = way in ("ours", "ideal", "alone")
        axes.plot(*zip(*points), label=way, linewidth=2.5 if heavy else 1.0, marker="o", markersize=3)
    axes.set_xlabel("age of the news, seconds")
    axes.set_ylabel("busiest cache of a second over the mean")
    axes.legend(fontsize=8, ncol=2)
    figure.savefig(RESULTS / f"{name}.svg", metadata={"Date": None})
