"""The command purges verify, which checks a store while no desk uses it."""

import json
import os
import sys

import click

from ...errors.commands import FileUnavailable
from .. import sections_of, site_option
from . import purges


@purges.command()
@site_option
@click.option("--store", type=click.Path(), help="In place of the file's [desk] store.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def verify(site_file, store, as_json):
    """Check a store while no desk runs on it, and say what is damaged.

    Example: hookrouter purges verify --store purges.db
    """
    from ...errors.stores import DamagedStore
    from ...stores import PurgeLog

    store = store or sections_of(site_file, "purges", "desk")["desk"]["store"]
    if not os.path.exists(store):
        raise FileUnavailable(f"{store}: there is no such file")
    log = PurgeLog(store, must_exist=True)
    sound, faults = log.verify()
    log.close()
    if as_json:
        print(json.dumps({"store": store, "sound": sound, "wrong": faults}))
    else:
        print(f"{store}: {sound} purges are sound")
    if faults:
        for fault in faults:
            print(f"hookrouter: {fault}", file=sys.stderr)
        raise DamagedStore(
            "the store is damaged; restore a copy, start the desk on it (it begins a new epoch), "
            "and repeat the purges made since that copy"
        )
