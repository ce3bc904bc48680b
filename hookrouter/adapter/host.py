"""Hosts one Control for each router of the simulation; they share only the cache lists that it defines."""

import json
import traceback

from .. import terms
from ..control import Control
from ..terms import Malformed
from . import codec


class Host:
    """Answers batches of messages; lists: number -> caches, routers: number -> Control."""

    def __init__(self, report_error):
        """report_error: called with each error text."""
        self.report_error = report_error
        self.lists = {}
        self.routers = {}

    def reply(self, batch):
        """The answer to one batch; raises Malformed if the batch itself cannot be read."""
        batch = terms.read_object(batch, "batch")
        now = terms.floor_units(batch.get("t"), "batch.t")
        turn = terms.read_integer(batch.get("turn"), "batch.turn")
        replies = []
        for group in terms.read_array(batch.get("groups"), "batch.groups"):
            group = terms.read_object(group, "batch.groups")
            router = terms.read_integer(group.get("router"), "groups.router")
            try:
                cmds = self.run(router, now, terms.read_array(group.get("inbox"), "groups.inbox"))
            except Malformed as error:
                cmds = self.error_reply(router, f"malformed: {error}")
            except Exception as error:  # a fault in one router must not stop the others
                self.report_error(traceback.format_exc().rstrip())
                cmds = self.error_reply(router, f"decision code failed: {type(error).__name__}: {error}")
            if cmds:
                replies.append({"router": router, "cmds": cmds})
        return {"turn": turn, "groups": replies}

    def error_reply(self, router, error):
        """Reports the error; returns the reply of its router."""
        self.report_error(f"router {router}: {error}")
        return [["bug", error]]

    def run(self, router, now, inbox):
        """Applies the messages of one router; returns the messages in reply."""
        effects, inputs = [], []
        for event in inbox:
            name = terms.read_array(event, "inbox")[0] if event else None
            if name == "defineList":
                self.define_list(event)
            elif name == "down":
                self.routers.pop(router, None)
                effects, inputs = [], []
            elif name == "configure":
                seed, conf = (event + [None, None])[1:3]
                seed = terms.read_integer(seed, "configure.randomSeed")
                self.routers[router] = Control(seed, terms.read_terms(conf))
                effects, inputs = [], []
            else:
                inputs.append(codec.read_event(event, self.lists))
        if inputs:
            if router not in self.routers:
                raise Malformed("an event came for a router that was not configured")
            effects = self.routers[router].decide(now, inputs)
        return [codec.write_effect(effect) for effect in effects]

    def define_list(self, event):
        """Stores a cache list under its number."""
        table, rows = (event + [None, None])[1:3]
        self.lists[terms.read_integer(table, "defineList.table")] = codec.read_list(rows)


def serve(lines, out, errors):
    """Answers one batch a line until the input ends; returns the exit code, 2 for an unreadable batch."""

    def report_error(text):
        errors.write(f"hookrouter: {text}\n")
        errors.flush()

    host = Host(report_error)
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.reply(json.loads(line))
        except (Malformed, ValueError) as error:
            report_error(f"malformed batch: {error}")
            return 2
        out.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        out.flush()
    return 0
