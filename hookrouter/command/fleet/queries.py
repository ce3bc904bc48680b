"""One question to the keepers of a fleet, and what they answer."""

import os
import time

from ...errors.commands import KeepersUnreachable
from .. import sections_of

ANSWER_WITHIN = 4.0  # seconds for one command: an election is over by then
AGAIN = 0.3  # seconds between tries


def section_of(site_file):
    return sections_of(site_file, "fleet")["fleet"]


def ask(section, make, every=False, then=None):
    """The first answer, from whichever keeper has one, as "answer"; {name: answer} of each where every.

    then(answers, who, life): of all answers, what is asked next, its answer comes as "answer"; or None.
    """
    from twisted.internet import reactor

    from ...decisions.owners import protocol
    from ...fleet.wire import Peers

    who, answers = f"cmd-{os.getpid()}", {}
    names = list(section["keepers"])

    def all_said():
        nonlocal message, every, then
        message, then, every = None if then is None else then(answers, who, life), None, False
        if message is None:
            reactor.stop()
            return
        answers.clear()
        reactor.callLater(ANSWER_WITHIN, reactor.stop)

    def heard(sender, answer):
        if not isinstance(answer, protocol.Answer) or message is None or answer.key != message.key:
            return
        if every:
            answers.setdefault(sender, answer.result)
            if len(answers) == len(names):
                all_said()
        elif answer.result is not None:
            answers["answer"] = answer.result
            reactor.stop()

    peers = Peers(
        reactor, who, dict(section["keepers"]), section["secret"].value, heard, lambda *a, **k: None
    )
    life = int(time.time() * 1_000)
    message = make(who, life)

    def again():
        for name in names:
            if name not in answers:
                peers.send(name, message)
        reactor.callLater(AGAIN, again)

    reactor.callLater(0, again)
    if every:
        reactor.callLater(1.0, lambda: all_said() if every else None)
    else:
        reactor.callLater(ANSWER_WITHIN, reactor.stop)
    reactor.run()
    return answers


def looked(section):
    from ...decisions.owners import protocol

    return ask(section, lambda who, life: protocol.StatusRequest(f"{who}#{life}/1"), True)


def leading(found):
    """Of those that say they lead the one of the newest term; None without one."""
    rows = (row for row in found.values() if row["state"] == "leading")
    return max(rows, key=lambda row: row["term"], default=None)


def commanded(site_file, command, fields):
    from ...decisions.owners import protocol

    section = section_of(site_file)
    answer = ask(section, lambda who, life: protocol.CommandRequest(f"{who}#{life}/1", command, fields)).get(
        "answer"
    )
    if answer is None:
        raise KeepersUnreachable("no keeper took it; hookrouter fleet status says why")
    return answer
