"""purges: the desk, relays, submitting, and what is in effect."""

import getpass
import http.client
import json
import os
import socket
import sys
import time
import uuid

import click

from ..errors.commands import (
    BadInput,
    Denied,
    DeskRefused,
    Missing,
    Misused,
    NoDesk,
    NotDesk,
    NotYet,
)
from . import FAILED, WRONG, run_until, sections_of, site_option, tell_uncaught
from .shown import table

CALL_WITHIN = 10.0  # seconds for one answer of the desk
PASS_WITHIN = 3.0  # where the next address may have the desk: longer than a takeover
TRIES = 3  # of a call, under the same key: the desk may be starting anew
PAUSE = 0.5  # seconds between them, and between looks while waiting at the least
LOOK = 0.05


@click.group()
def purges():
    """Purge copies in the whole fleet, and run the desk that does it.

    Example: hookrouter purges submit --site site.ini --tag winter-prices --wait
    """


# ---- the processes


def run(make, listen, secret, submits, log):
    """Listens, runs until SIGTERM or SIGINT, and ends with the exit code."""
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from ..desk.web import site
    from ..errors.listening import Taken

    tell_uncaught(log)
    desk = make(reactor)
    host, port = listen
    try:
        port = reactor.listenTCP(port, site(desk, secret, submits), backlog=512, interface=host)
    except CannotListenError as wrong:
        desk.stop()
        desk.store.end() if submits else None
        raise Taken(f"cannot listen: {wrong}") from None

    def ending():
        if not desk.stopped:
            log("stopping")
            port.stopListening()
            desk.stop().addBoth(lambda _: reactor.callLater(0.01, reactor.stop))

    desk.start()
    log(
        "serving purges",
        listens=f"{host}:{port.getHost().port}",
        epoch=desk.tail.epoch,
        newest=desk.tail.newest.n,
    )
    run_until(ending, reactor)
    log.close()


@purges.command("serve")
@site_option
def serve(site_file):
    """Run the desk: takes purges, keeps them, tells them to followers.

    Example: hookrouter purges serve --site site.ini
    """
    sections = sections_of(site_file, "purges", "desk")
    from ..desk.desk import Desk
    from ..desk.local_store import LocalStore
    from ..desk.paced import paced
    from ..log import Log

    log = Log(form=sections.get("log", {}).get("format", "text"))

    def made(reactor):
        store = LocalStore(reactor, sections["desk"]["store"], sections["purges"]["hold"])
        try:
            desk = Desk(reactor, log, sections["purges"], sections["desk"], store, store.read(0))
            return paced(desk, sections, "desk", log)
        except BaseException:
            store.end()
            raise

    run(made, sections["desk"]["listen"], sections["purges"]["secret"], True, log)


@purges.command()
@site_option
def relay(site_file):
    """Run a relay: follows the desk, and tells on to the routers of a depot.

    Example: hookrouter purges relay --site relay.ini
    """
    sections = sections_of(site_file, "purges", "relay")
    from ..desk.paced import paced
    from ..desk.relay import Relay
    from ..log import Log
    from ..tables.deadlines import Deadlines

    log = Log(form=sections.get("log", {}).get("format", "text"))

    def made(reactor):
        row = Relay(
            reactor, Deadlines(reactor), log, sections["purges"], sections["relay"], "admission" in sections
        )
        return paced(row, sections, sections["relay"]["name"], log)

    run(made, sections["relay"]["listen"], sections["purges"]["secret"], False, log)


# ---- calls to the desk


class Desk:
    """The desk as a command calls it; ends the command with one line where it cannot be reached."""

    def __init__(self, sections, address=None):
        self.addresses = (address,) if address else sections["purges"]["desk"]
        self.fields = {"Authorization": f"Bearer {sections['purges']['secret'].value.decode()}"}

    def call(self, method, path, body=None):
        """(status, what came as JSON). Tried again while the desk is not there or says to come again; where
        several addresses may have it, the next one each time.
        """
        tries, many = TRIES * len(self.addresses), len(self.addresses) > 1
        for tried in range(tries):
            last = tried + 1 == tries
            host, port = self.addresses[tried % len(self.addresses)]
            connection = http.client.HTTPConnection(host, port, timeout=PASS_WITHIN if many else CALL_WITHIN)
            try:
                connection.request(method, path, None if body is None else json.dumps(body), self.fields)
                answer = connection.getresponse()
                status, data = answer.status, json.loads(answer.read())
            except ValueError:
                raise NotDesk(f"{host}:{port} does not answer this as a desk does") from None
            except (OSError, http.client.HTTPException) as wrong:
                if last:
                    raise NoDesk(f"no desk at {host}:{port}: {wrong}") from None
                status = None
            finally:
                connection.close()
            if status == 401:
                raise Denied(said(data, status))
            if status is not None and (status != 503 or last):
                return status, data
            time.sleep(PAUSE)
        return None


def good(answer):
    status, data = answer
    if status != 200:
        refused = DeskRefused(said(data, status))
        refused.exit = WRONG if status in (400, 404, 409) else FAILED
        raise refused
    return data


def said(data, status):
    return data["error"] if isinstance(data, dict) and "error" in data else f"the desk answered {status}"


KINDS = ("object", "group", "tag", "prefix", "glob", "regex")


def options(command):
    for kind in reversed(KINDS):
        example = {
            "object": "7f3a9c21e0b4d655",
            "group": "17",
            "tag": "winter-prices",
            "prefix": "clip/7f",
            "glob": "page/*ab",
            "regex": "(clip|page)/0[0-9]+",
        }[kind]
        command = click.option(f"--{kind}", multiple=True, metavar="NAME", help=f"As in {example}.")(command)
    return command


@purges.command()
@site_option
@options
@click.option("--pattern", multiple=True, metavar="GLOB", help="The same as --glob.")
@click.option("--from-file", metavar="FILE", help="A purge a line: SORT NAME; - for standard input.")
@click.option("--everything", is_flag=True, help="A pattern may match every name.")
@click.option("--key", help="The same for all tries of one submission; made up without it.")
@click.option("--wait", is_flag=True, help="Until all are in effect.")
@click.option(
    "--for", "span", type=click.FloatRange(0.1, 3600), default=60.0, help="Seconds to wait at most."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def submit(site_file, pattern, from_file, everything, key, wait, span, as_json, **kinds):
    """Purge objects, groups, tags or patterns in every depot, in one submission.

    Names that patterns are matched with are KIND/OBJECT. All are accepted, or none.

    Example: hookrouter purges submit --site site.ini --tag winter-prices --group 17 --wait
    """
    sections = sections_of(site_file, "purges")
    items = [{"sort": kind, "what": what} for kind in KINDS for what in kinds[kind]]
    items += [{"sort": "glob", "what": what} for what in pattern]
    items += listed(from_file) if from_file else []
    if not items:
        raise Misused("nothing to purge; name an object, group, tag or pattern (see --help)")
    desk = Desk(sections)
    body = {"key": key or made_up_key(), "purges": items, "everything": everything}
    accepted = good(desk.call("POST", "/v1/purges", body))
    numbers = [row["number"] for row in accepted["purges"]]
    facts = waited(desk, numbers, span, as_json) if wait else None
    if as_json:
        print(
            json.dumps(
                {
                    "numbers": numbers,
                    "repeated": accepted["repeated"],
                    "key": body["key"],
                    "in_effect_ms": facts and facts["in_effect_ms"],
                }
            )
        )
    else:
        print(f"{'accepted before' if accepted['repeated'] else 'accepted'}: {shortened(numbers)}")
        if facts and facts["in_effect_ms"]:
            took = facts["in_effect_ms"] - facts["accepted_ms"]
            print(f"in effect since {clock(facts['in_effect_ms'])}, {took} ms after it was accepted")
    if wait and not facts["in_effect_ms"]:
        raise NotYet(
            f"not in effect after {span:g} s; it will be by {clock(facts['latest_ms'])} at the "
            f"latest, behind: {behind(facts)}"
        )


def listed(name):
    """Purges of a file, one a line; - is standard input."""
    try:
        with sys.stdin if name == "-" else open(name, encoding="utf-8") as file:
            lines = file.readlines()
    except UnicodeDecodeError:
        raise BadInput(f"{name}: not UTF-8 text") from None
    except OSError as wrong:
        raise Missing(f"{name}: {wrong.strerror}") from None
    items = []
    for number, line in enumerate(lines, 1):
        kind, _, what = line.strip().partition(" ")
        if kind and not kind.startswith("#"):
            if kind not in KINDS or not what:
                raise BadInput(f"line {number}: wanted is SORT NAME, and a sort is one of {', '.join(KINDS)}")
            items.append({"sort": kind, "what": what.strip()})
    return items


def made_up_key():
    """New each time, and it says who: the desk keeps it, and `list` shows it."""
    try:
        who = getpass.getuser()
    except (KeyError, OSError):  # a user without a name
        who = str(os.getuid())
    who = "".join(c for c in f"{who}@{socket.gethostname()}" if c.isprintable())
    return f"{who[:80]}/{uuid.uuid4().hex}"


def shortened(numbers):
    return numbers[0] if len(numbers) == 1 else f"{numbers[0]} to {numbers[-1]}"


def behind(facts):
    rows = [f"{row['name']} ({row['state']})" for row in facts["behind"]]
    return ", ".join(rows[:5]) + (f" and {len(rows) - 5} more" if len(rows) > 5 else "") if rows else "none"


def clock(millis):
    return f"{time.strftime('%H:%M:%S', time.localtime(millis / 1000))}.{millis % 1000:03d}"


def dated(millis):
    """With its day where that is not today's."""
    day = time.strftime("%Y-%m-%d", time.localtime(millis / 1000))
    return clock(millis) if day == time.strftime("%Y-%m-%d") else f"{day} {clock(millis)}"


def waited(desk, numbers, span, quiet):
    """The facts of the last one, once it is in effect or the time is over: the order is one, so all before it
    are.
    """
    until, shown = time.monotonic() + span, sys.stderr.isatty() and not quiet
    while True:
        facts = good(desk.call("GET", f"/v1/purges/{numbers[-1]}"))
        if shown:
            missing = 0 if facts["in_effect_ms"] else len(facts["behind"])
            print(
                f"\r{facts['members'] - missing} of {facts['members']} members have it ",
                end="",
                file=sys.stderr,
            )
        if facts["in_effect_ms"] or time.monotonic() >= until:
            if shown:
                print(file=sys.stderr)
            return facts
        time.sleep(LOOK)


@purges.command()
@site_option
@click.argument("number", required=False)
@click.option("--at", metavar="HOST:PORT", help="A relay, in place of the desk.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def status(site_file, number, at, as_json):
    """The desk's members and positions, or from when one purge is in effect and who is behind.

    The part of its number behind the point is enough.

    Example: hookrouter purges status --site site.ini 42
    """
    sections = sections_of(site_file, "purges")
    address = None
    if at:
        from ..site import Wrong
        from ..site import address as read_address

        try:
            address = read_address(at, "")
        except Wrong as wrong:
            raise Misused(f"--at: {wrong}") from None
    desk = Desk(sections, address)
    facts = good(desk.call("GET", f"/v1/purges/{number}" if number else "/v1/status"))
    if as_json:
        print(json.dumps(facts))
    elif number:
        print(
            f"{facts['number']}: {facts['sort']} {facts['what']}, by {facts['key']}, "
            f"accepted {clock(facts['accepted_ms'])}, "
            + (
                f"in effect since {clock(facts['in_effect_ms'])}{' at the latest' if facts['by'] else ''}"
                if facts["in_effect_ms"]
                else f"in effect by {clock(facts['latest_ms'])} at the latest, behind: {behind(facts)}"
            )
        )
    else:
        print(
            f"{facts['role']}: epoch {facts['epoch']}, newest {facts['newest']}, {facts['live']} live, "
            f"{facts['followers']} followers, {facts['undone']} not in effect yet"
        )
        table(
            ("member", "state", "applied", "of all below", "relay", "heard ms ago"),
            [
                (
                    row["name"],
                    row["state"],
                    row["n"],
                    row["all"],
                    "yes" if row["relay"] else "",
                    row["heard_ms_ago"],
                )
                for row in facts["members"]
            ],
        )


@purges.command("list")
@site_option
@click.option("--last", type=click.IntRange(1, 1_000), default=20, help="So many of the newest.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def newest(site_file, last, as_json):
    """The newest purges, by whom, and from when each is in effect: those of before a restart too.

    Example: hookrouter purges list --site site.ini --last 5
    """
    found = good(Desk(sections_of(site_file, "purges")).call("GET", f"/v1/purges?last={last}"))
    rows, more = found["purges"], found["of"] - len(found["purges"])
    if as_json:
        print(json.dumps({"purges": rows, "of": found["of"]}))
        return
    table(
        ("number", "what", "by", "accepted", "in effect", "after ms"),
        [
            (
                row["number"],
                f"{row['sort']} {row['what']}",
                row["key"],
                dated(row["accepted_ms"]),
                ("by " if row["by"] else "") + clock(row["in_effect_ms"])
                if row["in_effect_ms"]
                else "not yet",
                row["in_effect_ms"] - row["accepted_ms"] if row["in_effect_ms"] else "",
            )
            for row in rows
        ],
    )
    if more > 0:
        print(
            f"{more} more are kept that are older"
            + (
                f"; --last {min(1_000, found['of'])} shows {'them' if found['of'] <= 1_000 else 'more'}"
                if last < 1_000
                else ""
            ),
            file=sys.stderr,
        )


@purges.command()
@site_option
@click.option("--store", type=click.Path(), help="In place of the file's [desk] store.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def verify(site_file, store, as_json):
    """Check a store while no desk runs on it, and say what is damaged.

    Example: hookrouter purges verify --store purges.db
    """
    from ..errors.stores import Damaged
    from ..stores import PurgeLog

    store = store or sections_of(site_file, "purges", "desk")["desk"]["store"]
    if not os.path.exists(store):
        raise Missing(f"{store}: there is no such file")
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
        raise Damaged(
            "the store is damaged; restore a copy, start the desk on it (it begins a new epoch), "
            "and repeat the purges made since that copy"
        )
