"""Files that last: stores of keepers and desks, traces."""

from . import HookrouterError


class UnusableStore(HookrouterError):
    """This file cannot be opened as a store; the text says why."""

    code = "store-unusable"
    advice = "name a file in a folder that is there and may be written, with room left on its disk"


class LockedStore(UnusableStore):
    """Another process has it open."""

    code = "store-held"
    advice = "end the process that runs on it, or name another file: a store is one process's at a time"


class ForeignStore(UnusableStore):
    """It is another program's, another keeper's or another version's."""

    code = "store-foreign"
    advice = "correct the name of the store in the operator's file; nothing was changed in that file"


class DamagedStore(UnusableStore):
    """The store is not as it was written. n: the first purge that cannot be trusted, or None."""

    code = "store-damaged"
    advice = (
        "move it away; a keeper learns anew from the others, a desk of its own needs a copy put back "
        "and the purges made since"
    )

    def __init__(self, text, n=None):
        super().__init__(text)
        self.n = n


class CopyDiffers(HookrouterError):
    """The store holds something else than what it was held against."""

    code = "copy-differs"
    advice = "nothing: the copy is put away and filled anew; hookrouter fleet compare shows when it is done"


class TruncatedTrace(HookrouterError, ValueError):
    """A segment ends before its end; what comes before it counts."""

    code = "trace-torn"
    advice = "nothing where a router was killed; else look at the disk"


class UnreadableTrace(HookrouterError, ValueError):
    """These bytes are no line of a trace."""

    code = "trace-unreadable"
    advice = "name files that [trace] of a router of this version has written"


class NoTraceFound(HookrouterError):
    """No segment there, or none with a lookup's end."""

    code = "trace-empty"
    advice = "name NAME.NUMBER.trace files or their folder, of routers that have run with [trace]"
    exit_code = 2
