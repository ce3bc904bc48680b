"""The group fleet: runs a member; shows and changes the ownership of duties."""

import click

json_option = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


@click.group()
def fleet():
    """Members that own the fleet's work, one at a time each.

    Example: hookrouter fleet status --site site.ini
    """


from . import (  # noqa: E402, F401  each registers its commands
    changing,
    records,
    running,
    shared,
    showing,
)
