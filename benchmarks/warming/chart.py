"""The hit share of the replaced caches' names by the second, as an SVG."""

from pathlib import Path

import matplotlib

from . import compared

SHOWN = 150_000  # 15 s after the first is replaced
SECOND = 10_000
OUT = Path(__file__).parents[2] / "docs" / "results" / "warming.svg"


def draw(rows):
    """rows: {(how, count): [share of a second]}."""
    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "warming"
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2), sharey=True)
    for axis, count, title in zip(axes, (1, 6), ("one of ten replaced", "six of ten replaced within 7 s")):
        for how, colour in (
            (compared.IDEAL, "#999999"),
            (compared.WITH, "#1b7837"),
            (compared.WITHOUT, "#b2182b"),
        ):
            axis.plot(range(len(rows[how, count])), rows[how, count], label=how, color=colour)
        axis.set(title=title, xlabel="s after the first", ylim=(0, 1))
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("hit share of their names")
    axes[0].legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(OUT, metadata={"Date": None})


def row(args):
    """((how, count), shares) of one day; made-up time."""
    how, count = args
    location, _, began = compared.replaced(1, how, count)
    new = {f"d{k}" for k in range(count)}
    return args, [location.hit_share(new, began + at, began + at + SECOND) for at in range(0, SHOWN, SECOND)]
