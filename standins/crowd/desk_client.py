"""An HTTP client of the purge desks and relays of a crowd."""

import http.client
import json
from typing import Any

CALL_TIMEOUT = 3.0  # seconds for an answer; a keeper forwards a call for up to 2.5


class DeskClient:
    """Calls one of several desks and moves on to the next after a failure. Not thread-safe.

    ports: of the desks; secret: of [purges].
    """

    def __init__(self, ports: list[int], secret: str) -> None:
        """Connects with the first call."""
        self.ports, self.headers = list(ports), {"Authorization": f"Bearer {secret}"}
        self.connection: http.client.HTTPConnection | None = None

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Returns the decoded body of a 200 answer, else None; the next call then uses the next desk."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection("127.0.0.1", self.ports[0], timeout=CALL_TIMEOUT)
        try:
            self.connection.request(method, path, None if body is None else json.dumps(body), self.headers)
            answer = self.connection.getresponse()
            result = json.loads(answer.read())
        except (OSError, http.client.HTTPException, ValueError):
            self._use_next_desk()
            return None
        if answer.status != 200:
            self._use_next_desk()
            return None
        return result

    def close(self) -> None:
        """Closes the connection; the next call opens another."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _use_next_desk(self) -> None:
        self.close()
        self.ports.append(self.ports.pop(0))
