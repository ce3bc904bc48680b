"""What must hold in every made-up storm, in plain words and slow lines, judged from outside the gate."""

from hookrouter.decisions.admission import messages, tickets
from hookrouter.errors.wire import InvalidTicket

from .gateway import KEY


class Waiting:
    """One that asked and was not answered. former: (life, turn) of a ticket of another life."""

    def __init__(self, conn, left, former):
        self.conn, self.left, self.former = conn, left, former


class Judge:
    def __init__(self, world):
        self.world, self.breaks, self.purge_late, self.fenced_too_late = world, [], 0, 0
        self.waiting = {}  # gateway -> {subscriber: Waiting}
        self.used, self.places, self.admitted, self.former = set(), {}, set(), {}

    def broke(self, what):
        self.breaks.append(f"{self.world.engine.now}: {what}")

    def asked(self, gateway, conn, left, text):
        """A place that a ticket of another life gave stays until this life has admitted the name."""
        try:
            ticket = tickets.read(KEY, text, conn.sub.name) if text else None
        except InvalidTicket:
            ticket = None
        life = gateway.name, gateway.life
        if ticket is not None and (ticket.gateway, ticket.incarnation) != life:
            mark = life, ticket.gateway, ticket.incarnation, ticket.number
            if mark not in self.used:
                self.used.add(mark)
                former = ticket.incarnation, ticket.turn
                key = life, conn.sub.name
                self.former[key] = min(former, self.former.get(key, former))
        former = self.former.get((life, conn.sub.name))
        self.waiting.setdefault(gateway, {})[conn.sub] = Waiting(conn, left, former)

    def over(self, gateway, conn):
        mine = self.waiting.get(gateway, {})
        if conn.sub in mine and mine[conn.sub].conn is conn:
            del mine[conn.sub]

    def killed(self, gateway):
        self.waiting.pop(gateway, None)

    def admit(self, gateway, effect):
        """Each connection once; nobody without a lease to lose before one with an older place."""
        mark = gateway.name, gateway.life, effect.conn
        if mark in self.admitted:
            self.broke(f"connection {effect.conn} admitted twice")
        self.admitted.add(mark)
        conn = gateway.conns.get(effect.conn)
        mine = self.waiting.get(gateway, {})
        chosen = mine.pop(conn.sub, None) if conn is not None else None
        self.former.pop((mark[:2], effect.name), None)
        if chosen is None or chosen.left > 0:
            return
        for sub, other in mine.items():
            if (
                other.former is not None
                and other.conn.open
                and (chosen.former is None or other.former < chosen.former)
                and self._asks(gateway, other)
            ):
                self.broke(f"{conn.sub.name} of {chosen.former} admitted before {sub.name} of {other.former}")

    def _asks(self, gateway, other):
        """Whether the gate has it there."""
        row = gateway.gate.queue.rows.get(other.conn.sub.name)
        return row is not None and row.conn == other.conn.id

    def tell(self, gateway, effect, conn):
        """A place is one name's; whoever will be without a lease by then is told so."""
        if effect.ticket:
            try:
                ticket = tickets.read(KEY, effect.ticket, conn.sub.name)
            except InvalidTicket as wrong:
                self.broke(f"a ticket that {conn.sub.name} cannot use: {wrong}")
                return
            mark = ticket.gateway, ticket.incarnation, ticket.number
            if self.places.setdefault(mark, ticket.name) != ticket.name:
                self.broke(f"two tickets for one slot: {mark}")
        waiting = self.waiting.get(gateway, {}).get(conn.sub)
        if waiting is not None and effect.wait > waiting.left and not effect.late:
            self.broke(f"{conn.sub.name} will be fenced and was not told so")
        if len(gateway.gate.queue) > len(self.world.subs):
            self.broke("more places than subscribers")

    def look(self):
        """A purge stated as in effect, and one that may answer from copies it made old."""
        world, now = self.world, self.world.engine.now
        due = max((n for at, n in world.order.stated if at <= now), default=0)
        for sub in world.subs:
            if sub.n < due and sub.unfenced():
                self.purge_late += 1
                self.broke(f"{sub.name} answers at {sub.n}, purge {due} is in effect")
            # By true time and the gateway's own count of that lease.
            row = world.order.followers.rows.get(sub.name)
            if sub.unfenced() and row is not None and row.until < now:
                self.fenced_too_late += 1
                self.broke(f"{sub.name} answers beyond its lease")


def tail_share(gateways):
    rows = [row for gateway in gateways for row in gateway.admissions]
    return sum(row[3] == messages.TAIL for row in rows) / max(1, len(rows))
