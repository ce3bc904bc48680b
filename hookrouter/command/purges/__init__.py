"""purges: the desk, relays, submitting, and what is in effect."""

import click


@click.group()
def purges():
    """Purge copies in the whole fleet, and run the desk that does it.

    Example: hookrouter purges submit --site site.ini --tag winter-prices --wait
    """


from . import (  # noqa: E402, F401  each puts its commands into the group
    serving,
    showing,
    submitting,
    verifying,
)
