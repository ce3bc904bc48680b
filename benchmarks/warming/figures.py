"""The figures of warming, from made-up time: the last line of `python -m benchmarks warming` has them."""

from concurrent.futures import ProcessPoolExecutor

from .. import seeded
from . import compared, laws, processes
from .finding import found
from .model import explore
from .schedules import play

CHE_OFF = 0.02  # of hit share: beyond it the model judges nothing
DAYS, FULL_DAYS = (1, 2), (1, 2, 3, 4, 5)
SIX, ONE = 6, 1
FIVE, TEN = 50_000, 100_000


def day(args):
    """Figures of one made-up day: replaced caches, how, seed."""
    seed, how, count = args
    location, pool, began = compared.replaced(seed, how, count)
    old = {f"c{k}" for k in range(count)}
    new = {f"d{k}" for k in range(count)}
    steady = location.hit_share(old, began - TEN, began)
    return {
        "hits": location.hit_share(new, began, began + FIVE) / steady,
        "hits_at_5s": location.hit_share(new, began + FIVE - 10_000, began + FIVE + 10_000) / steady,
        "origin": location.origin_between(began, began + TEN),
        "served": location.served(began, began + TEN),
        "p99": location.p99(began, began + TEN),
        "falls": sum(one.fell for one in location.caches.values()),
        "fills": pool.fills,
    }


def killed(seed):
    """(names filled again, all fills): the owner of a warming killed in its midst, another goes on."""
    return compared.handed_over(seed)


def schedule(seed):
    return play(seed)


def searched(limits):
    return explore(limits=limits)


def mistake(name):
    return bool(found(*name))


def mean(rows, key):
    return sum(row[key] for row in rows) / len(rows)


def run(quick=False):
    days = DAYS if quick else FULL_DAYS
    runs = [
        (seed, how, count)
        for count in (ONE, SIX)
        for how in (compared.WITH, compared.WITHOUT, compared.IDEAL)
        for seed in days
    ]
    mistakes = seeded.mistakes("warming_mistakes")
    limits = {"purges": 0, "drains": 0} if quick else {}
    with ProcessPoolExecutor(4) as pool:
        told = pool.map(day, runs)
        model = pool.submit(searched, limits)
        plays = list(pool.map(schedule, range(600 if quick else 10_000), chunksize=100))
        hits = list(pool.map(mistake, mistakes))
        handed = list(pool.map(killed, days))
        measured, theory = pool.submit(compared.che).result()
        rows = {run: one for run, one in zip(runs, told)}
        states, wrong, ended = model.result()
        if not quick:
            from . import chart

            chart.draw(
                dict(
                    pool.map(
                        chart.row,
                        [
                            (how, count)
                            for count in (ONE, SIX)
                            for how in (compared.WITH, compared.WITHOUT, compared.IDEAL)
                        ],
                    )
                )
            )
    real = processes.figures()  # alone on the machine: what is made up has ended
    return {**shown(rows, days, plays, hits, handed, (measured, theory), (states, wrong, ended)), **real}


def shown(rows, days, plays, hits, handed, che, model):
    def of(how, count, key):
        return mean([rows[seed, how, count] for seed in days], key)

    said = [one[0] for one in plays if one[0] is not None] + [model[1]] * (model[1] is not None)
    late, purged = (sum(word in text for text in said) for word in ("number", "purge"))
    figures = {
        "model_hits": round(che[0], 4),
        "che_hits": round(che[1], 4),
        "model_trusted": abs(che[0] - che[1]) < CHE_OFF,
    }
    for count, name in ((ONE, ""), (SIX, "_six_in_ten")):
        for how, word in (("with", ""), ("without", "_without"), ("ideal", "_ideal")):
            figures[f"hit_share_5s{name}{word}"] = round(of(how, count, "hits_at_5s"), 3)
            figures[f"hit_share_first_5s{name}{word}"] = round(of(how, count, "hits"), 3)
        figures[f"origin_fills_ratio{name}"] = round(
            of("with", count, "origin") / of("without", count, "origin"), 3
        )
        figures[f"origin_fills_ratio{name}_ideal"] = round(
            of("ideal", count, "origin") / of("without", count, "origin"), 3
        )
        figures[f"foreground_p99_ratio{name}"] = round(
            of("with", count, "p99") / of("without", count, "p99"), 3
        )
    again, fills, asked = (sum(one[k] for one in handed) for k in (0, 1, 2))
    return {
        **figures,
        "served_replacing": round(of("with", SIX, "served"), 5),
        "served_replacing_without": round(of("without", SIX, "served"), 5),
        "cold_falls": sum(rows[run]["falls"] for run in rows if run[1] == "with"),
        "repeated_fills_share": round(again / max(1, fills), 4),
        "late_owner_accepted": late,
        "purged_served": purged,
        "late_fills_refused": sum(one[3] for one in plays),
        "asked_again_share": round(asked / max(1, fills), 4),
        "schedules": len(plays),
        "fills_played": sum(one[2] for one in plays),
        "rule_breaks": len(said),
        "model_states": model[0],
        "model_ended": model[2],
        "merge_laws": laws.broken() is None,
        "seeded_mistakes": len(hits),
        "seeded_found": sum(hits),
    }
