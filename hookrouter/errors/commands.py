"""What ends a command that a person has called."""

from . import HookrouterError


class UsageError(HookrouterError):
    """What was asked for makes no sense; the text says what is wanted."""

    code = "command-use"
    advice = "call it as its --help shows"
    exit_code = 2


class FileUnavailable(HookrouterError):
    """A file or folder that is not there, or cannot be read."""

    code = "command-file"
    advice = "name a file that is there and that you may read"
    exit_code = 2


class InvalidInput(HookrouterError, ValueError):
    """A line of a file that cannot be used."""

    code = "command-input"
    advice = "correct that line; nothing of the file was taken"
    exit_code = 2


class SystemFailure(HookrouterError):
    """The system refused something that no other kind names."""

    code = "system"
    advice = "look at the file, address or disk that is named"


class DeskUnreachable(HookrouterError):
    """Nobody answers at the desk's addresses."""

    code = "desk-away"
    advice = "start the desk, or correct [purges] desk; docs/operate/purges.md"


class NotADesk(HookrouterError):
    """Something answers there that is no desk."""

    code = "desk-other"
    advice = "correct [purges] desk"


class DeskAccessDenied(HookrouterError):
    """The desk does not know the secret."""

    code = "desk-denied"
    advice = "name the file with the desk's secret in [purges] secret"
    exit_code = 2


class DeskRefused(HookrouterError):
    """The desk does not do it; the text is the desk's."""

    code = "desk-refused"
    advice = "do what the text asks, and call again; what was submitted under a key is not taken twice"


class PurgeNotInEffect(HookrouterError):
    """Accepted, and not in effect in the time that was waited for."""

    code = "purge-not-yet"
    advice = "wait, or see who is behind: hookrouter purges status NUMBER"


class KeepersUnreachable(HookrouterError):
    """No keeper answers, or none leads."""

    code = "keepers-away"
    advice = "start the keepers, or correct [fleet] keepers and secret; hookrouter fleet status says more"


class FleetRefused(HookrouterError):
    """The fleet does not do it; the text is the leader's."""

    code = "fleet-refused"
    advice = "do what the text asks; hookrouter fleet owners and members show how it stands"


class CopiesDiffer(HookrouterError):
    """Not all keepers' copies of records are alike."""

    code = "copies-differ"
    advice = "do what each row's rule says, and compare again"


class TraceNotReplayable(HookrouterError):
    """A trace that this build cannot play."""

    code = "trace-other"
    advice = "give the trace of a whole life, from its first segment on, to the version that wrote it"
