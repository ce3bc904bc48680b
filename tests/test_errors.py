"""Error reports: each class has a code and advice, the page lists all, no command prints a traceback."""

import json
import os
import re
import socket
import sqlite3
from pathlib import Path

import pytest
from fleet import configuration, endpoint, members

from hookrouter import errors
from hookrouter.__main__ import main
from hookrouter.command.purges import calls
from hookrouter.stores import DamagedStore, PurgeLog, UnusableStore
from hookrouter.stores.keeper_log import KeeperLog
from hookrouter.terms import Malformed

PAGE = Path(__file__).parent.parent / "docs" / "operate" / "errors.md"


def test_the_page_lists_every_code_with_its_exit_and_advice():
    rows = re.findall(r"^\| `([a-z-]+)` \| [^|]+ \| (\d) \| (.+) \|$", PAGE.read_text(), re.M)
    assert {code: (int(end), advice) for code, end, advice in rows} == {
        code: (kind.exit_code, kind.advice) for code, kind in errors.errors_by_code().items()
    }
    assert len(rows) == len(errors.errors_by_code()) and all(
        re.fullmatch("[a-z]+(-[a-z]+)*", code) for code, *_ in rows
    )
    assert all(
        kind.__doc__ and "\n" not in kind.advice and len(kind.advice) < 140
        for kind in errors.errors_by_code().values()
    )


def test_the_modules_names_of_errors_are_the_listed_classes_and_stay_value_errors():
    from hookrouter import site
    from hookrouter.feed import events
    from hookrouter.fleet.member import command_stream
    from hookrouter.fleet.wire import frames
    from hookrouter.parsers import http1, sse, thrift
    from hookrouter.purges import wire
    from hookrouter.trace import UnreadableTrace

    was_value_errors = (
        Malformed,
        events.Malformed,
        http1.Malformed,
        sse.Malformed,
        thrift.Malformed,
        wire.Malformed,
        frames.Malformed,
        UnreadableTrace,
        site.InvalidValue,
    )
    assert all(
        issubclass(kind, ValueError) and issubclass(kind, errors.HookrouterError) for kind in was_value_errors
    )
    assert len({thrift.Malformed, http1.Malformed, sse.Malformed, wire.Malformed, Malformed}) == 5
    assert (
        issubclass(DamagedStore, UnusableStore)
        and issubclass(command_stream.DutyLost, errors.HookrouterError)
        and site.InvalidSiteFile(["a:1: b"]).lines == ["a:1: b"]
    )
    assert not issubclass(UnusableStore, ValueError) and str(Malformed("x")) == "x"


class Place:
    """Invalid files of each kind, and an address that is in use."""

    def __init__(self, folder):
        self.folder = folder
        (folder / "folder").mkdir()
        (folder / "bin").write_bytes(bytes(range(256)))
        (folder / "empty").write_text("")
        (folder / "lines").write_text("nonsense here\n")
        (folder / "secret").write_text("s" * 20)
        os.chmod(folder / "secret", 0o600)
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.taken = f"127.0.0.1:{self.socket.getsockname()[1]}"
        with socket.create_server(("127.0.0.1", 0)) as ended:
            self.dead = f"127.0.0.1:{ended.getsockname()[1]}"
        (folder / "ok.json").write_text(
            json.dumps(
                configuration(members(1, endpoint("c0", 7100), endpoint("o0", 7101, "origin"), whole=True))
            )
        )
        other = sqlite3.connect(folder / "other.db")
        other.execute("CREATE TABLE mine (n)")
        other.close()
        KeeperLog(str(folder / "k2.db"), "k2").close()
        for name in ("folder", "bin", "other.db", "no/where.db", "ok.db"):
            self.site(f"{name.replace('/', '-')}.ini", name)
        (folder / "wrong.ini").write_text("[purges]\ndesk = x\n[odd]\n")
        (folder / "log.ini").write_text("[log]\nformat = text\n")

    def site(self, name, store):
        (self.folder / name).write_text(
            f"[purges]\ndesk = {self.dead}\nsecret = secret\n[desk]\nlisten = {self.taken}\nstore = {store}\n"
            f"[fleet]\nname = k1\nlisten = {self.taken}\nsecret = secret\nstore = {'k2.db' if store == 'ok.db' else store}\n"
            f"keepers = k1 {self.taken}, k2 {self.dead}, k3 10.0.0.9:9300\n"
        )


@pytest.fixture(scope="module")
def place(tmp_path_factory):
    made = Place(tmp_path_factory.mktemp("errors"))
    yield made
    made.socket.close()


@pytest.mark.parametrize(
    "code, words",
    [
        ("platform-value", "check"),
        ("platform-value", "serve EDGE_CONFIG=none"),
        ("platform-value", "check EDGE_CONFIG=folder"),
        ("platform-value", "check EDGE_CONFIG=bin"),
        ("platform-value", "serve EDGE_CONFIG=empty"),
        ("platform-value", "check EDGE_CONFIG=ok.json EDGE_LISTEN=x"),
        ("platform-value", "check EDGE_CONFIG=ok.json --site ok.db.ini"),
        ("site-file", "check --site none EDGE_CONFIG=ok.json"),
        ("site-file", "serve --site bin EDGE_CONFIG=ok.json"),
        ("site-file", "purges list --site wrong.ini"),
        ("site-unnamed", "fleet status"),
        ("site-section", "fleet status --site empty"),
        ("site-section", "purges serve --site log.ini"),
        ("store-unusable", "purges serve --site folder.ini"),
        ("store-damaged", "purges serve --site bin.ini"),
        ("store-foreign", "purges serve --site other.db.ini"),
        ("store-unusable", "purges serve --site no-where.db.ini"),
        ("store-unusable", "fleet serve --site folder.ini"),
        ("store-damaged", "fleet serve --site bin.ini"),
        ("store-foreign", "fleet serve --site ok.db.ini"),
        ("store-damaged", "fleet verify --site bin.ini"),
        ("listen-refused", "purges serve --site ok.db.ini"),
        ("store-unusable", "purges verify --store folder"),
        ("command-file", "purges verify --store none"),
        ("store-damaged", "purges verify --store bin"),
        ("desk-away", "purges list --site ok.db.ini"),
        ("command-use", "purges submit --site ok.db.ini"),
        ("command-file", "purges submit --site ok.db.ini --from-file none"),
        ("command-file", "purges submit --site ok.db.ini --from-file folder"),
        ("command-input", "purges submit --site ok.db.ini --from-file bin"),
        ("command-input", "purges submit --site ok.db.ini --from-file lines"),
        ("command-use", "purges status --site ok.db.ini --at x"),
        ("command-use", "fleet replace --site ok.db.ini"),
        ("command-use", "fleet drill k9 --fault kill --site ok.db.ini"),
        ("command-use", "fleet drill k2 --fault cut --site ok.db.ini"),
        ("trace-empty", "trace show folder"),
        ("trace-torn", "trace account bin"),
        ("trace-empty", "trace account empty"),
    ],
)
def test_each_invalid_input_of_a_command_is_reported_in_one_line_with_advice(
    place, capsys, monkeypatch, code, words
):
    monkeypatch.chdir(place.folder)
    monkeypatch.setattr(calls, "RETRY_DELAY", 0)
    for name in ("EDGE_CONFIG", "EDGE_LISTEN", "HOOKROUTER_SITE"):
        monkeypatch.delenv(name, raising=False)
    given = words.split()
    for word in [word for word in given if "=" in word]:
        monkeypatch.setenv(*word.split("="))
        given.remove(word)
    exit, said = main(given), capsys.readouterr().err
    assert exit == (
        1
        if code == "trace-torn" or given[:2] == ["trace", "account"]
        else errors.errors_by_code()[code].exit_code
    )
    assert (
        f"; do: {errors.errors_by_code()[code].advice} ({code})\n" in said.replace("\ndo: ", "; do: ")
        and "Traceback" not in said
    )


def test_an_error_without_a_class_is_reported_in_one_line(capsys, monkeypatch):
    from hookrouter import command

    monkeypatch.setattr(
        command.commands, "main", lambda *_, **__: (_ for _ in ()).throw(OSError(28, "No space left", "x"))
    )
    assert (
        main(["check"]) == 1 and "No space left" in (said := capsys.readouterr().err) and "(system)" in said
    )


def test_a_store_locked_by_another_process_is_reported_as_such(tmp_path, capsys):
    path = str(tmp_path / "held.db")
    log = PurgeLog(path)
    assert main(["purges", "verify", "--store", path]) == 1
    assert "another process holds it" in (said := capsys.readouterr().err) and "(store-held)" in said
    log.close()
