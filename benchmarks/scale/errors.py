"""What can go wrong before or after a scale run, each with a line on what to do."""

from hookrouter.errors import HookrouterError


class TooFewSizes(HookrouterError, ValueError):
    """A formula cannot be told from another by so few sizes; the text says how many there are."""

    code = "scale-sizes"
    advice = "measure at three sizes or more, and at four where the largest is to be predicted"


class NotEnoughRoom(HookrouterError):
    """The machine lacks memory, descriptors or processes for the run; the text says of what and how much."""

    code = "scale-room"
    advice = "free what is named, raise the limit, or ask for a smaller run"


class UnreadableResults(HookrouterError, ValueError):
    """The data file is not of the schema that this program writes; the text says where it differs."""

    code = "scale-results"
    advice = "measure anew with `python -m benchmarks scale`, or take the file's former version"


class ProcessEnded(HookrouterError):
    """A process of the layout ended by itself; the text names it and shows the end of its log."""

    code = "scale-process"
    advice = "read the process's log in the run's folder; a run without it is no measurement"
