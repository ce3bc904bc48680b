"""Submitters and readers of a desk that several keepers can own, and a follower of a relay."""

import http.client
import json
import threading
import time
from random import Random

from .linear import READ, SUBMIT, Call

SECRET = "another secret for this rig"
TRY_WITHIN = 2.0  # seconds for one answer


class Client:
    """Calls whichever of the addresses answers, the one that did last first."""

    def __init__(self, addresses, first=0):
        self.addresses, self.at, self.connection = list(addresses), first % len(addresses), None

    def once(self, method, path, body=None):
        """(status, what came), or None."""
        try:
            if self.connection is None:
                host, port = self.addresses[self.at]
                self.connection = http.client.HTTPConnection(host, port, timeout=TRY_WITHIN)
            self.connection.request(
                method, path, body and json.dumps(body), {"Authorization": f"Bearer {SECRET}"}
            )
            answer = self.connection.getresponse()
            status, told = answer.status, json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException):
            status, told = None, None
        if status != 200:
            if self.connection is not None:
                self.connection.close()
            self.connection, self.at = None, (self.at + 1) % len(self.addresses)
        return status, told

    def submit(self, key, *tags, stopped=lambda: False):
        """(began, ended, numbers, repeated), tried under one key until it is accepted; None once stopped."""
        began = time.monotonic()
        body = {"key": key, "purges": [{"sort": "tag", "what": tag} for tag in tags]}
        while not stopped():
            status, told = self.once("POST", "/v1/purges", body)
            if status == 200:
                return (began, time.monotonic(), [row["number"] for row in told["purges"]], told["repeated"])
            time.sleep(0.03)
        return None


class Submitters:
    """So many threads that purge one tag after the other, and one that reads the newest number."""

    def __init__(self, rig, count, dice):
        self.rig, self.over, self.lock = rig, False, threading.Lock()
        self.calls, self.accepted, self.wrong = [], {}, []
        addresses = [("127.0.0.1", port) for port in rig.desk_ports.values()]
        self.threads = [
            threading.Thread(target=self._submits, args=(n, Client(addresses, n), Random(dice.random())))
            for n in range(count)
        ]
        self.threads.append(threading.Thread(target=self._reads, args=(Client(addresses),)))
        for thread in self.threads:
            thread.start()

    def _submits(self, who, client, dice):
        k, before = 0, None
        while not self.over:
            k += 1
            tag = f"s{who}-{k}"
            told = client.submit(tag, tag)
            with self.lock:
                number = told[2][0]
                n = int(number.partition(".")[2])
                if n in self.accepted:
                    self.wrong.append(f"{number} was given to {self.accepted[n]} and {tag}")
                self.accepted[n] = number, tag
                self.calls.append(Call(told[0], told[1], SUBMIT, n))
            if before is not None and dice.random() < 0.1:
                again = client.submit(before[0], before[0])
                if again[2] != [before[1]] or not again[3]:
                    self.wrong.append(f"{before} again gave {again[2:]}")
            before = tag, number
            time.sleep(dice.uniform(0.005, 0.03))

    def _reads(self, client):
        while not self.over:
            began = time.monotonic()
            status, told = client.once("GET", "/v1/status")
            if status == 200:
                with self.lock:
                    newest = int(told["newest"].partition(".")[2])
                    self.calls.append(Call(began, time.monotonic(), READ, newest))
            time.sleep(0.02)

    def end(self):
        self.over = True
        for thread in self.threads:
            thread.join(60)


def heard(address, newest):
    """{n: (number, tag)} as a follower of that relay is told, from the beginning of the order on."""
    connection, rows = http.client.HTTPConnection(*address, timeout=10), {}
    connection.request(
        "GET", "/v1/feed", headers={"Authorization": f"Bearer {SECRET}", "X-Position": "0.0", "X-Epoch": "0"}
    )
    answer = connection.getresponse()
    until = time.monotonic() + 20
    while time.monotonic() < until and len(rows) < newest:
        line = answer.readline()
        if line.startswith(b"data: "):
            for epoch, n, _, _, what in json.loads(line[6:]).get("purges", ()):
                rows[n] = f"{epoch}.{n}", what
    connection.close()
    return rows
