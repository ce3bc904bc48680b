"""Calls to desks and relays of a crowd: what they know of purges and members."""

import http.client
import json
from typing import Any

WITHIN = 3.0  # seconds for an answer: a keeper passes a call on for 2.5


class DeskClient:
    """ports: of desks that may have the answer, tried in turn; secret: of [purges]. For one thread."""

    def __init__(self, ports: list[int], secret: str) -> None:
        """It connects with the first call."""
        self.ports, self.fields = list(ports), {"Authorization": f"Bearer {secret}"}
        self.connection: http.client.HTTPConnection | None = None

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """What came as JSON with status 200, else None; the next call goes to the next desk then."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection("127.0.0.1", self.ports[0], timeout=WITHIN)
        try:
            self.connection.request(method, path, None if body is None else json.dumps(body), self.fields)
            answer = self.connection.getresponse()
            told = json.loads(answer.read())
        except (OSError, http.client.HTTPException, ValueError):
            self._turn()
            return None
        if answer.status != 200:
            self._turn()
            return None
        return told

    def close(self) -> None:
        """Ends its connection; the next call makes another."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _turn(self) -> None:
        self.close()
        self.ports.append(self.ports.pop(0))
