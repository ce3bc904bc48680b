"""A plain model of what must hold of keepers, members and what they act on."""

from hookrouter.decisions.owners.duties import DECLARE, DONE


class Checks:
    """What must hold, in the world that this is part of."""

    def wrong(self, what):
        self.breaks.append((self.engine.now, what))

    def checked(self, process):
        core = process.core
        if core.state == "leading":
            first = self.leaders.setdefault(core.term, process.name)
            if first != process.name:
                self.wrong(f"{first} and {process.name} lead in term {core.term}")
        seen = self.stood.get((process.name, process.generation), core.snapshot[0])
        for index in range(max(seen, core.base) + 1, core.applied + 1):
            entry = core.entries[index - core.base - 1]
            known = self.agreed.setdefault(index, entry)
            if known != entry:
                self.wrong(f"{process.name} has {entry} agreed at {index}, others {known}")
        self.stood[process.name, process.generation] = core.applied
        if seen <= core.snapshot[0] == core.applied and core.snapshot[4] is not None:
            state = self.agreed.setdefault(("state", core.applied), core.duties.state())
            if state != core.duties.state():
                self.wrong(f"{process.name} has another state at {core.applied}")

    def told(self, process, told):
        self.trace.append((self.engine.now, process.name, told.event, told.fields))
        if told.event == "duty granted" and process.core.state == "leading":
            self.grants += 1

    def holders(self, duty):
        """Processes whose warrant is live by their own clock now, paused ones too: time goes on for them."""
        rows = self.holding.get(duty, {})
        return [
            (key, number)
            for key, (number, process, life) in rows.items()
            if process.up
            and process.life == life
            and (warrant := process.holder.leases.get(duty)) is not None
            and warrant.fencing_token == number
            and process.clock() < warrant.expires_at
        ]

    def gained(self, process, duty, number):
        others = [row for row in self.holders(duty) if row[0] != (process.name, process.life)]
        self.holding.setdefault(duty, {})[process.name, process.life] = number, process, process.life
        if others:
            self.wrong(f"{process.name} gained {duty} as {number} while {others} hold it")
        since = self.free_since.pop(duty, None)
        if since is not None:
            self.takeovers.append(self.engine.now - since)

    def lost(self, process, duty, number):
        self.holding.get(duty, {}).pop((process.name, process.life), None)

    def resource(self, process, act):
        """It keeps the highest number; what comes under a lower one is refused."""
        duty, number, _ = act
        if number < self.fence.get(duty, 0):
            self.refused += 1
            if self.fenced:
                return
        rows = self.accepted.setdefault(duty, [])
        if rows and number < rows[-1]:
            self.wrong(f"the resource of {duty} took {number} after {rows[-1]}")
        rows.append(number)
        self.fence[duty] = max(number, self.fence.get(duty, 0))
        if process.up and not process.paused and duty in process.holder.leases:
            process.ask(DONE, [duty, number, process.steps.get(duty, self.step_of(duty)) + 1])

    def step_of(self, duty):
        cores = [
            p.core for p in self.keepers.values() if p.core is not None and duty in p.core.duties.by_name
        ]
        return max((core.duties.by_name[duty].step for core in cores), default=0)

    def answered(self, process, asked, result):
        if asked.command == DONE and result[0] == "done":
            self.acknowledged.append((asked.fields[0], result[1], result[2]))
        if (
            asked.command == DECLARE
            and result[0] == "declared"
            and self.wanted
            and asked.fields[0] == self.wanted[0]
        ):
            self.wanted.pop(0)

    def ended(self):
        """After all is well again: a leader, each duty held once, nothing that was acknowledged gone."""
        cores = [p.core for p in self.keepers.values() if p.core is not None]
        lead = [core for core in cores if core.state == "leading"]
        if len(lead) != 1:
            self.wrong(
                f"after the faults {len(lead)} lead: "
                f"{[(c.name, c.state, c.term, c.integrity_error) for c in cores]}"
            )
            return self.breaks
        for duty in lead[0].duties.by_name:
            if len(self.holders(duty)) != 1:
                self.wrong(f"after the faults {duty} is held by {self.holders(duty)}")
        for duty, _, step in self.acknowledged:
            if lead[0].duties.by_name[duty].step < step:
                self.wrong(f"step {step} of {duty} was acknowledged and is not there")
        if self.wanted:
            self.wrong(f"never declared: {self.wanted}")
        return self.breaks
