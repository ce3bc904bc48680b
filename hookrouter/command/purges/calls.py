"""HTTP calls to the purge desk, with retries."""

import http.client
import json
import time

from ...errors.commands import DeskAccessDenied, DeskRefused, DeskUnreachable, NotADesk
from .. import FAILED, WRONG

CALL_TIMEOUT = 10.0  # seconds for one answer
FAILOVER_TIMEOUT = 3.0  # seconds if another address may have the desk; a takeover takes less
MAX_TRIES = 3  # per address, with the same key: the desk may be restarting
RETRY_DELAY = 0.5  # seconds between tries


class Desk:
    """Client of the desk; raises DeskUnreachable, DeskAccessDenied or NotADesk."""

    def __init__(self, sections, address=None):
        self.addresses = (address,) if address else sections["purges"]["desk"]
        self.fields = {"Authorization": f"Bearer {sections['purges']['secret'].value.decode()}"}

    def call(self, method, path, body=None):
        """Returns (status, decoded JSON).

        Retries while the desk is unreachable or answers 503, each time at the next address.
        """
        tries, several = MAX_TRIES * len(self.addresses), len(self.addresses) > 1
        for attempt in range(tries):
            last = attempt + 1 == tries
            host, port = self.addresses[attempt % len(self.addresses)]
            connection = http.client.HTTPConnection(
                host, port, timeout=FAILOVER_TIMEOUT if several else CALL_TIMEOUT
            )
            try:
                connection.request(method, path, None if body is None else json.dumps(body), self.fields)
                answer = connection.getresponse()
                status, data = answer.status, json.loads(answer.read())
            except ValueError:
                raise NotADesk(f"{host}:{port} does not answer this as a desk does") from None
            except (OSError, http.client.HTTPException) as error:
                if last:
                    raise DeskUnreachable(f"no desk at {host}:{port}: {error}") from None
                status = None
            finally:
                connection.close()
            if status == 401:
                raise DeskAccessDenied(error_text(data, status))
            if status is not None and (status != 503 or last):
                return status, data
            time.sleep(RETRY_DELAY)
        return None


def require_ok(answer):
    """Returns the data of a successful answer; raises DeskRefused for others."""
    status, data = answer
    if status != 200:
        error = DeskRefused(error_text(data, status))
        error.exit_code = WRONG if status in (400, 404, 409) else FAILED
        raise error
    return data


def error_text(data, status):
    """Returns the error message of an answer."""
    return data["error"] if isinstance(data, dict) and "error" in data else f"the desk answered {status}"
