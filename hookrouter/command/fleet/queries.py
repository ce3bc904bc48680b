"""Requests to the keepers of a fleet."""

import os

from ...errors.commands import KeepersUnreachable
from .. import sections_of

ANSWER_TIMEOUT = 4.0  # seconds for one command; an election takes less
RESEND_INTERVAL = 0.3  # seconds


def fleet_section(site_file):
    """Returns the section [fleet] of the operator's file."""
    return sections_of(site_file, "fleet")["fleet"]


def query_keepers(section, make_request, from_all=False, follow_up=None):
    """Sends a request to all keepers; returns {"answer": first answer}, or {name: answer} with from_all.

    make_request(client_name, generation) returns the message. follow_up(answers, client_name, generation)
    returns a second request, made from all answers, whose answer is returned as "answer"; or None.
    """
    from ...clock import monotonic_reactor, unix_milliseconds
    from ...decisions.owners import protocol
    from ...fleet.wire import Peers

    reactor = monotonic_reactor()
    client_name, answers = f"cmd-{os.getpid()}", {}
    names = list(section["keepers"])

    def finish_round():
        nonlocal message, from_all, follow_up
        message, follow_up, from_all = (
            None if follow_up is None else follow_up(answers, client_name, generation),
            None,
            False,
        )
        if message is None:
            reactor.stop()
            return
        answers.clear()
        reactor.callLater(ANSWER_TIMEOUT, reactor.stop)

    def on_message(sender, answer):
        if not isinstance(answer, protocol.Answer) or message is None or answer.key != message.key:
            return
        if from_all:
            answers.setdefault(sender, answer.result)
            if len(answers) == len(names):
                finish_round()
        elif answer.result is not None:
            answers["answer"] = answer.result
            reactor.stop()

    peers = Peers(
        reactor,
        client_name,
        dict(section["keepers"]),
        section["secret"].value,
        on_message,
        lambda *a, **k: None,
    )
    generation = unix_milliseconds()
    message = make_request(client_name, generation)

    def resend():
        for name in names:
            if name not in answers:
                peers.send(name, message)
        reactor.callLater(RESEND_INTERVAL, resend)

    reactor.callLater(0, resend)
    if from_all:
        reactor.callLater(1.0, lambda: finish_round() if from_all else None)
    else:
        reactor.callLater(ANSWER_TIMEOUT, reactor.stop)
    reactor.run()
    return answers


def query_status(section):
    """Returns {name: status} of all keepers that answer."""
    from ...decisions.owners import protocol

    return query_keepers(
        section, lambda client_name, generation: protocol.StatusRequest(f"{client_name}#{generation}/1"), True
    )


def find_leader(found):
    """Returns the status of the leader with the newest term, or None."""
    rows = (row for row in found.values() if row["state"] == "leading")
    return max(rows, key=lambda row: row["term"], default=None)


def run_command(site_file, command, fields):
    """Submits a command to the leader and returns its result; raises KeepersUnreachable."""
    from ...decisions.owners import protocol

    section = fleet_section(site_file)
    answer = query_keepers(
        section,
        lambda client_name, generation: protocol.CommandRequest(
            f"{client_name}#{generation}/1", command, fields
        ),
    ).get("answer")
    if answer is None:
        raise KeepersUnreachable("no keeper took it; hookrouter fleet status says why")
    return answer
