"""Purges submitted at a steady rate, as operators' tools do, and what the desk answered to each."""

import threading
import time
from dataclasses import dataclass, field
from hashlib import blake2b

from standins.crowd import objects
from standins.crowd.desk_client import DeskClient

WORKERS = 6  # submissions that may be out at a time: 32 a second, each answered within 180 ms
HOT_EVERY = 8  # one purge in so many is of an object that clients ask for
HOT = 50  # objects of those that clients ask for most
RETRY = 0.1  # seconds between tries of one submission
GIVE_UP = 10.0  # seconds after which a submission without an answer is left


@dataclass
class Submission:
    """One purge of an object. number is None as long as the desk has not acknowledged it."""

    key: str
    name: str
    submitted: float  # Unix seconds
    acknowledged: float | None = None
    number: int | None = None
    made_ms: int | None = None


@dataclass
class Submitter:
    """Submits from start() to stop(); submissions are in the order in which they were due."""

    ports: list[int]
    secret: str
    rate: float
    seed: int = 1
    submissions: list[Submission] = field(default_factory=list)

    def start(self) -> None:
        """Begins, in threads of its own."""
        self._stopping = threading.Event()
        self._lock, self._count, self._begun = threading.Lock(), 0, time.monotonic()
        self._threads = [threading.Thread(target=self._work, daemon=True) for _ in range(WORKERS)]
        for thread in self._threads:
            thread.start()

    def change_rate(self, rate: float) -> None:
        """From now on."""
        with self._lock:
            self._begun = time.monotonic() - self._count / rate
            self.rate = rate

    def stop(self) -> None:
        """Ends once each submission that is out has its answer, or was given up."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def acknowledged(self) -> list[Submission]:
        """Those with a number."""
        return [each for each in self.submissions if each.number is not None]

    def newest(self) -> int:
        """The highest number acknowledged so far; 0 without any."""
        return max((each.number for each in self.acknowledged()), default=0)

    def _work(self) -> None:
        client = DeskClient(self.ports, self.secret)
        while not self._stopping.is_set():
            with self._lock:
                number, self._count = self._count, self._count + 1
                due = self._begun + number / self.rate
            if self._stopping.wait(max(0.0, due - time.monotonic())):
                break
            self._submit(client, number)
        client.close()

    def _submit(self, client: DeskClient, number: int) -> None:
        submission = Submission(f"scale/{self.seed}/{number}", self._name(number), time.time())
        self.submissions.append(submission)
        purge = {"sort": "object", "what": submission.name}
        body = {"key": submission.key, "purges": [purge], "everything": False}
        while (told := client.call("POST", "/v1/purges", body)) is None:
            if time.time() > submission.submitted + GIVE_UP or self._stopping.wait(RETRY):
                return
        submission.acknowledged = time.time()
        submission.made_ms = told["purges"][0]["made_ms"]
        submission.number = int(told["purges"][0]["number"].rpartition(".")[2])

    def _name(self, number: int) -> str:
        if number % HOT_EVERY == 0:
            return objects.name(number // HOT_EVERY % HOT)
        return blake2b(f"{self.seed} {number}".encode(), digest_size=8).hexdigest()
