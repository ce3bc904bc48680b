"""Keepers as processes whose copies seal old purges: the owner of the desk is killed while it does."""

import http.client
import json

import pytest
from purging import sealed_upto

from hookrouter.purges.tail import MOST_NAMES
from hookrouter.stores import PurgeLog
from standins.rig import Rig, holder

SECRET = {"Authorization": "Bearer another secret for this rig"}
MANY, AT_ONCE = 23_000, 1_000  # some 2,000 more than a store keeps out of its sealed part


@pytest.fixture
def rig(tmp_path):
    made = Rig(tmp_path, keepers=3, purges=True)
    made.start()
    try:
        yield made
    finally:
        made.stop()
    assert not any("Traceback" in made.log(name) for name in made.names)
    for name in made.keepers:
        log = PurgeLog(made.folder / f"{name}-purges.db")
        assert log.verify() == (MANY + 1, [])
        log.close()


def call(port, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request(method, path, body, SECRET)
        got = connection.getresponse()
        return got.status, json.loads(got.read())
    except OSError:
        return None, None
    finally:
        connection.close()


def submitted(rig, first, count):
    """The numbers that whoever owns the desk gave; tried until it takes them."""
    rows = [{"sort": "object", "what": f"{n:016x}"} for n in range(first, first + count)]
    body = json.dumps({"key": f"many-{first}", "purges": rows})

    def tried():
        for port in rig.desk_ports.values():
            status, told = call(port, "POST", "/v1/purges", body)
            if status == 200:
                return [int(row["number"].split(".")[1]) for row in told["purges"]]
        return None

    numbers = rig.wait(tried, 30)
    assert numbers, rig.exited_processes()
    return numbers


def desk(rig):
    """What the owner says of its order."""
    found = [told for port in rig.desk_ports.values() for _, told in [call(port, "GET", "/v1/status")]]
    return next((told for told in found if told and told.get("role") == "desk"), None)


def sealed(rig, name):
    """Up to which number a keeper's copy is sealed."""
    return sealed_upto(rig.folder / f"{name}-purges.db")


def test_an_owner_killed_while_its_copy_is_sealed_loses_nothing_and_the_next_starts_by_its_own(rig):
    for first in range(0, MANY, AT_ONCE):
        numbers = submitted(rig, first, AT_ONCE)
    assert numbers[-1] == MANY
    assert rig.wait(lambda: any(sealed(rig, name) > 0 for name in rig.keepers), 30)
    owner = holder(rig, "purges")
    before = desk(rig)
    rig.kill(owner)
    others = [name for name in rig.keepers if name != owner]
    assert submitted(rig, MANY, 1) == [MANY + 1]
    after = desk(rig)
    assert after["epoch"] > before["epoch"] and after["live"] == MANY + 1
    assert before["sealed"] == MANY - MOST_NAMES and after["sealed"] == MANY + 1 - MOST_NAMES
    rig.start(owner)
    assert rig.wait(lambda: all(sealed(rig, name) == MANY + 1 - 21_000 for name in rig.keepers), 60)
    assert others and rig.wait(lambda: rig.command("compare")[0] == 0, 30)
