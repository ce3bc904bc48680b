"""The group purges: runs desk and relays, submits purges and shows which are in effect."""

import click


@click.group()
def purges():
    """Purge copies in the whole fleet, and run the desk that does it.

    Example: hookrouter purges submit --site site.ini --tag winter-prices --wait
    """


from . import (  # noqa: E402, F401  each registers its commands
    serving,
    showing,
    submitting,
    verifying,
)
