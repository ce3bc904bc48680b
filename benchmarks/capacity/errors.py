"""What can be wrong with the capacity page or with the files that it is computed from."""

from hookrouter.errors import HookrouterError


class CapacityError(HookrouterError):
    """The page cannot be computed; the text says what is wrong."""

    code = "capacity"
    advice = "look at the file that is named; python -m benchmarks capacity computes the page again"


class UnreadableData(CapacityError, ValueError):
    """A data file is missing, or not of the schema that the page is computed from."""

    code = "capacity-data"
    advice = "run the measurement that writes this file, and commit what it wrote"


class MissingSlope(CapacityError):
    """A slope that the arithmetic of a table needs is not in the file of slopes."""

    code = "capacity-slope"
    advice = "run python -m benchmarks scale --full, which measures it"


class MissingMeasurement(CapacityError):
    """A figure of the program's own tables is not in the file of measurements."""

    code = "capacity-measurement"
    advice = "run python -m benchmarks capacity --measure-state, which measures it"


class PageDiffers(CapacityError):
    """The page is not the one that the data files give; the text names the first line that differs."""

    code = "capacity-page"
    advice = "run python -m benchmarks capacity and commit the page"
