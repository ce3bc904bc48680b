"""Seeded mistakes in the decisions on record copies, each of which the checks must find.

MISTAKES holds (keeper class, copy class, the seed of a CopyWorld schedule that shows the mistake, or None for
the scripted schedule).
"""

from collections import deque

from hookrouter.decisions.owners import Keeper, protocol
from hookrouter.decisions.owners.duties import Duties, RecordChange, chained_hash
from hookrouter.decisions.replicas import record_copy


def with_duties(made):
    """Returns a Keeper class whose duties are of that class."""

    class Made(Keeper):
        def _load(self, stored):
            super()._load(stored)
            self.duties = made(self.snapshot[4])

        def _on_install_snapshot(self, sender, install):
            super()._on_install_snapshot(sender, install)
            if not isinstance(self.duties, made):
                self.duties = made(self.snapshot[4])

    return Made


class Unfenced(Duties):
    """Accepts an append under an old fencing token."""

    def apply(self, index, key, command, fields):
        if command == "keep" and fields[0] in self.by_name:
            fields = [fields[0], self.by_name[fields[0]].fencing_token, *fields[2:]]
        return super().apply(index, key, command, fields)


class Unordered(Duties):
    """Does not check at which number an append begins."""

    def apply(self, index, key, command, fields):
        if command == "keep" and fields[0] in self.sequences:
            fields = [*fields[:2], self.sequences[fields[0]].newest + 1, fields[3]]
        return super().apply(index, key, command, fields)


class ForgetsKeys(Duties):
    """Applies a retried command again."""

    def apply(self, index, key, command, fields):
        self.last_results.clear()
        if command == "keep" and fields[0] in self.sequences:
            fields = [*fields[:2], self.sequences[fields[0]].newest + 1, fields[3]]
        return super().apply(index, key, command, fields)


class SameEpoch(Duties):
    """A new owner gets the epoch of the previous one."""

    def apply(self, index, key, command, fields):
        before = self.sequences[fields[0]].epoch if command == "open" and fields[0] in self.sequences else 0
        result = super().apply(index, key, command, fields)
        if command == "open" and result[0] == "open" and before:
            self.sequences[fields[0]].epoch = before
            self.last_records = [RecordChange(fields[0], "open", (before,))]
            return ["open", before, result[2]]
        return result


class FoldsUnfiled(Keeper):
    """Compacts the log although this keeper's copy has not stored all of its records."""

    def _compact_if_due(self):
        self.unstored_entries = deque()
        super()._compact_if_due()


class TellsEarly(Keeper):
    """Answers an append before a majority has it."""

    def _command(self, sender, request):
        super()._command(sender, request)
        if self.state == "leading" and request.command == "keep":
            self._send(
                sender, protocol.Answer(request.key, ["kept", request.fields[2] + len(request.fields[3]) - 1])
            )


class NamesLeftOut(record_copy.RecordCopy):
    """Considers a fetched copy complete without the followers' names."""

    def _set_target(self, *args):
        super()._set_target(*args)
        self.names_complete = True


class Trusting(record_copy.RecordCopy):
    """Does not check fetched records against the committed chain hash."""

    def _set_target(self, index, newest, seal):
        super()._set_target(index, newest, None)


class NoRecall(record_copy.RecordCopy):
    """Loses the records queued for a failed store, and accepts later ones without a target."""

    def on_committed(self, now, index, records):
        if self.state == record_copy.STORE_UNUSABLE:
            for record in records:
                if record.command == "keep":
                    self.newest += len(record.fields[1])
                    for body in record.fields[1]:
                        self.chain_hash = chained_hash(self.chain_hash, body)
        return super().on_committed(now, index, records)

    def on_opened(self, now, store):
        return super().on_opened(now, store._replace(newest=max(self.newest, store.newest)))


class FiledBeforeDisk(record_copy.RecordCopy):
    """Reports records as stored even if the write failed, so the log may drop them."""

    def on_written(self, now, token, succeeded, differs=False):
        return super().on_written(now, token, True)


MISTAKES = {
    "Unfenced": (with_duties(Unfenced), record_copy.RecordCopy, 32),
    "Unordered": (with_duties(Unordered), record_copy.RecordCopy, 12),
    "ForgetsKeys": (with_duties(ForgetsKeys), record_copy.RecordCopy, 4),
    "SameEpoch": (with_duties(SameEpoch), record_copy.RecordCopy, 1),
    "FoldsUnfiled": (FoldsUnfiled, record_copy.RecordCopy, None),
    "TellsEarly": (TellsEarly, record_copy.RecordCopy, 1),
    "NamesLeftOut": (Keeper, NamesLeftOut, 1),
    "Trusting": (Keeper, Trusting, 3),
    "NoRecall": (Keeper, NoRecall, 3),
    "FiledBeforeDisk": (Keeper, FiledBeforeDisk, 1),
}
