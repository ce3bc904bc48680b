"""Errors of persistent files: the stores of keepers and desks, and traces."""

from . import HookrouterError


class UnusableStore(HookrouterError):
    """A file that cannot be opened as a store; the text says why."""

    code = "store-unusable"
    advice = "name a file in an existing, writable directory with free disk space"


class LockedStore(UnusableStore):
    """Another process has the store open."""

    code = "store-held"
    advice = "stop the process that uses it, or name another file: only one process may use a store at a time"


class ForeignStore(UnusableStore):
    """The file belongs to another program, keeper or version."""

    code = "store-foreign"
    advice = "correct the name of the store in the operator's file; the file found there was not changed"


class DamagedStore(UnusableStore):
    """The store's content is corrupt. first_bad: number of the first purge affected, or None."""

    code = "store-damaged"
    advice = (
        "move it away; a keeper fetches its state from the others, a single desk needs a backup restored "
        "and the purges made since repeated"
    )

    def __init__(self, text, first_bad=None):
        super().__init__(text)
        self.first_bad = first_bad


class CopyDiffers(HookrouterError):
    """The store's content differs from what it was compared with."""

    code = "copy-differs"
    advice = (
        "none needed: the copy is set aside and fetched again; hookrouter fleet compare shows when it is done"
    )


class TruncatedTrace(HookrouterError, ValueError):
    """A trace segment is truncated; the rows before that point are valid."""

    code = "trace-torn"
    advice = "none needed if a router was killed; otherwise check the disk"


class UnreadableTrace(HookrouterError, ValueError):
    """Bytes that are not a line of a trace."""

    code = "trace-unreadable"
    advice = "name trace files written by a router of this version"


class NoTraceFound(HookrouterError):
    """There is no trace segment, or none contains the end of a lookup."""

    code = "trace-empty"
    advice = "name NAME.NUMBER.trace files or their directory, of routers that ran with [trace]"
    exit_code = 2
