"""Errors that end a command."""

from . import HookrouterError


class UsageError(HookrouterError):
    """Invalid arguments; the text says what is expected."""

    code = "command-use"
    advice = "see the command's --help"
    exit_code = 2


class FileUnavailable(HookrouterError):
    """A file or directory that does not exist or cannot be read."""

    code = "command-file"
    advice = "name an existing file that you may read"
    exit_code = 2


class InvalidInput(HookrouterError, ValueError):
    """A line of an input file that is invalid."""

    code = "command-input"
    advice = "correct that line; nothing in the file has been submitted"
    exit_code = 2


class SystemFailure(HookrouterError):
    """An operating system error that no other class covers."""

    code = "system"
    advice = "check the file, address or disk that the message names"


class DeskUnreachable(HookrouterError):
    """No desk answers at the configured addresses."""

    code = "desk-away"
    advice = "start the desk, or correct [purges] desk; docs/operate/purges.md"


class NotADesk(HookrouterError):
    """Something other than a desk answers at the configured address."""

    code = "desk-other"
    advice = "correct [purges] desk"


class DeskAccessDenied(HookrouterError):
    """The desk rejects the secret."""

    code = "desk-denied"
    advice = "name the file that holds the desk's secret in [purges] secret"
    exit_code = 2


class DeskRefused(HookrouterError):
    """The desk refused the request; the text is the desk's."""

    code = "desk-refused"
    advice = "do what the message says and try again; a submission with the same key is not accepted twice"


class PurgeNotInEffect(HookrouterError):
    """A purge was accepted but did not take effect within the time waited for."""

    code = "purge-not-yet"
    advice = "wait, or see which followers are behind: hookrouter purges status NUMBER"


class KeepersUnreachable(HookrouterError):
    """No keeper answers, or none is the leader."""

    code = "keepers-away"
    advice = "start the keepers, or correct [fleet] keepers and secret; see hookrouter fleet status"


class FleetRefused(HookrouterError):
    """The fleet refused the request; the text is the leader's."""

    code = "fleet-refused"
    advice = "do what the message says; hookrouter fleet owners and members show the current state"


class CopiesDiffer(HookrouterError):
    """The keepers' copies of the records are not identical."""

    code = "copies-differ"
    advice = "apply the rule given in each row, and compare again"


class TraceNotReplayable(HookrouterError):
    """A trace that this build cannot replay."""

    code = "trace-other"
    advice = "give the trace of one whole run, from its first segment on, to the version that wrote it"
