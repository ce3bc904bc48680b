"""Keepers as processes whose copies seal old purges: the owner of the desk is killed meanwhile."""

import http.client
import json

import pytest
from purging import sealed_upto

from hookrouter.purges.tail import MOST_NAMES
from hookrouter.stores import PurgeLog
from standins.rig import Rig, holder

SECRET = {"Authorization": "Bearer another secret for this rig"}
MANY, AT_ONCE = 23_000, 1_000  # about 2,000 more than a store leaves unsealed


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
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except OSError:
        return None, None
    finally:
        connection.close()


def submit(rig, first, count):
    """Submits purges until the owner of the desk accepts them; returns the numbers that it assigned."""
    rows = [{"sort": "object", "what": f"{n:016x}"} for n in range(first, first + count)]
    body = json.dumps({"key": f"many-{first}", "purges": rows})

    def attempt():
        for port in rig.desk_ports.values():
            status, answer = call(port, "POST", "/v1/purges", body)
            if status == 200:
                return [int(row["number"].split(".")[1]) for row in answer["purges"]]
        return None

    numbers = rig.wait(attempt, 30)
    assert numbers, rig.exited_processes()
    return numbers


def desk_status(rig):
    """The status answered by the owner of the desk, or None."""
    found = [answer for port in rig.desk_ports.values() for _, answer in [call(port, "GET", "/v1/status")]]
    return next((answer for answer in found if answer and answer.get("role") == "desk"), None)


def sealed_number(rig, name):
    """The number up to which a keeper's copy is sealed."""
    return sealed_upto(rig.folder / f"{name}-purges.db")


def test_an_owner_killed_while_sealing_loses_nothing_and_the_next_uses_its_own_sealed_part(rig):
    for first in range(0, MANY, AT_ONCE):
        numbers = submit(rig, first, AT_ONCE)
    assert numbers[-1] == MANY
    assert rig.wait(lambda: any(sealed_number(rig, name) > 0 for name in rig.keepers), 30)
    owner = holder(rig, "purges")
    before = desk_status(rig)
    rig.kill(owner)
    others = [name for name in rig.keepers if name != owner]
    assert submit(rig, MANY, 1) == [MANY + 1]
    after = desk_status(rig)
    assert after["epoch"] > before["epoch"] and after["live"] == MANY + 1
    assert before["sealed"] == MANY - MOST_NAMES and after["sealed"] == MANY + 1 - MOST_NAMES
    rig.start(owner)
    assert rig.wait(lambda: all(sealed_number(rig, name) == MANY + 1 - 21_000 for name in rig.keepers), 60)
    assert others and rig.wait(lambda: rig.command("compare")[0] == 0, 30)
