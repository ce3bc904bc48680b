"""Calls to the desk, tried again while it is not there."""

import http.client
import json
import time

from ...errors.commands import DeskAccessDenied, DeskRefused, DeskUnreachable, NotADesk
from .. import FAILED, WRONG

CALL_WITHIN = 10.0  # seconds for one answer of the desk
PASS_WITHIN = 3.0  # where the next address may have the desk: longer than a takeover
TRIES = 3  # of a call, under the same key: the desk may be starting anew
PAUSE = 0.5  # seconds between them, and between looks while waiting at the least


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
                raise NotADesk(f"{host}:{port} does not answer this as a desk does") from None
            except (OSError, http.client.HTTPException) as wrong:
                if last:
                    raise DeskUnreachable(f"no desk at {host}:{port}: {wrong}") from None
                status = None
            finally:
                connection.close()
            if status == 401:
                raise DeskAccessDenied(said(data, status))
            if status is not None and (status != 503 or last):
                return status, data
            time.sleep(PAUSE)
        return None


def good(answer):
    status, data = answer
    if status != 200:
        refused = DeskRefused(said(data, status))
        refused.exit_code = WRONG if status in (400, 404, 409) else FAILED
        raise refused
    return data


def said(data, status):
    return data["error"] if isinstance(data, dict) and "error" in data else f"the desk answered {status}"
