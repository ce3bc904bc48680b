"""python -m benchmarks NAME [--quick]: a table, and as its last line one JSON object of named figures."""

import json
from importlib import import_module
from inspect import signature

import click

NAMES = (
    "admission",
    "lab",
    "loss",
    "owners",
    "purges",
    "replicas",
    "retention",
    "scale",
    "sharing",
    "spread",
    "view",
    "warming",
)


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option("--quick", is_flag=True, help="Within 40 s; of the fleet's parts 150 s.")
@click.option("--full", is_flag=True, help="Minutes: all ways, schedules and processes, where it knows more.")
def main(name, quick, full):
    """Example: python -m benchmarks purges --quick"""
    run = import_module(f".{name}", __package__).run
    more = {"full": True} if full and "full" in signature(run).parameters else {}
    figures = run(quick and not full, **more)
    width = max(map(len, figures))
    for key, value in figures.items():
        print(f"{key:<{width}}  {value}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
