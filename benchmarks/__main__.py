"""python -m benchmarks NAME [--quick]: a table, and as its last line one JSON object of named figures."""

import json
from importlib import import_module
from inspect import signature

import click

NAMES = (
    "admission",
    "capacity",
    "lab",
    "loss",
    "owners",
    "purges",
    "replicas",
    "retention",
    "scale",
    "sharing",
    "soak",
    "spread",
    "view",
    "warming",
)


OPTIONS_OF_FEW = {
    "only_check": "--check",
    "measure_state": "--measure-state",
    "seed": "--seed",
    "seconds": "--seconds",
    "seeds": "--seeds",
}


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option("--quick", is_flag=True, help="Within 40 s; of the fleet's parts 150 s.")
@click.option("--full", is_flag=True, help="Minutes: all ways, schedules and processes, where it knows more.")
@click.option("--check", "only_check", is_flag=True, help="capacity: holds the page against the data files.")
@click.option("--measure-state", is_flag=True, help="capacity: measures tables, messages and work anew.")
@click.option("--seed", type=int, help="soak: the first seed.")
@click.option("--seconds", type=float, help="soak: of each run.")
@click.option("--seeds", type=int, help="soak: how many, from the first on.")
def main(name, quick, full, **more):
    """Example: python -m benchmarks purges --quick"""
    run = import_module(f".{name}", __package__).run
    more = {option: wanted for option, wanted in {"full": full, **more}.items() if wanted}
    known = signature(run).parameters
    for option in more.keys() & OPTIONS_OF_FEW.keys() - known.keys():
        raise click.UsageError(f"{name} knows no {OPTIONS_OF_FEW[option]}")
    more = {option: wanted for option, wanted in more.items() if option in known}
    figures = run(quick and not full, **more)
    width = max(map(len, figures))
    for key, value in figures.items():
        print(f"{key:<{width}}  {value}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
