"""Hosts one Control for each router of the batch. They share only the lists that the wire defines."""

import json
import traceback

from .. import terms
from ..control import Control
from ..terms import Malformed
from . import codec


class Host:
    def __init__(self, complain):
        self.complain = complain
        self.lists = {}
        self.routers = {}

    def reply(self, batch):
        """The answer to one batch; raises Malformed where the batch itself cannot be read."""
        batch = terms.read_object(batch, "batch")
        now = terms.floor_units(batch.get("t"), "batch.t")
        turn = terms.read_integer(batch.get("turn"), "batch.turn")
        answers = []
        for group in terms.read_array(batch.get("groups"), "batch.groups"):
            group = terms.read_object(group, "batch.groups")
            router = terms.read_integer(group.get("router"), "groups.router")
            try:
                cmds = self.run(router, now, terms.read_array(group.get("inbox"), "groups.inbox"))
            except Malformed as wrong:
                cmds = self.fault(router, f"malformed: {wrong}")
            except Exception as wrong:  # the decision code failed: say so, and keep the other routers going
                self.complain(traceback.format_exc().rstrip())
                cmds = self.fault(router, f"decision code failed: {type(wrong).__name__}: {wrong}")
            if cmds:
                answers.append({"router": router, "cmds": cmds})
        return {"turn": turn, "groups": answers}

    def fault(self, router, wrong):
        self.complain(f"router {router}: {wrong}")
        return [["bug", wrong]]

    def run(self, router, now, inbox):
        effects, inputs = [], []
        for event in inbox:
            name = terms.read_array(event, "inbox")[0] if event else None
            if name == "defineList":
                self.define(event)
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

    def define(self, event):
        table, rows = (event + [None, None])[1:3]
        self.lists[terms.read_integer(table, "defineList.table")] = codec.read_list(rows)


def serve(lines, out, errors):
    """Answers batch by batch until the input ends. Returns the exit code."""

    def complain(text):
        errors.write(f"hookrouter: {text}\n")
        errors.flush()

    host = Host(complain)
    for line in lines:
        if not line.strip():
            continue
        try:
            answer = host.reply(json.loads(line))
        except (Malformed, ValueError) as wrong:
            complain(f"malformed batch: {wrong}")
            return 2
        out.write(json.dumps(answer, separators=(",", ":")).encode() + b"\n")
        out.flush()
    return 0
