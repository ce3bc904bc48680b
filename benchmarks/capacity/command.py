"""python -m benchmarks capacity: computes the page, checks it, or measures what it is computed from."""

import sys
from pathlib import Path

from .errors import CapacityError
from .inputs import read_inputs
from .measurements import write_state
from .page import check, render

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "docs" / "results"


def run(quick: bool = False, only_check: bool = False, measure_state: bool = False) -> dict[str, object]:
    """Writes docs/CAPACITY.md; with only_check holds it against the data files and changes nothing."""
    try:
        if measure_state:
            return _measure_state()
        return _page(only_check)
    except CapacityError as wrong:
        print(f"{wrong.prefix}{wrong.user_message()}", file=sys.stderr)
        raise SystemExit(wrong.exit_code) from None


def _measure_state() -> dict[str, object]:
    from .measure import measure  # loads the program's parts, which the page does without

    state = measure()
    write_state(RESULTS / "state.json", state)
    return {"measurements": len(state.measurements), "commit": state.commit}


def _page(only_check: bool) -> dict[str, object]:
    inputs = read_inputs(RESULTS)
    text = render(inputs)
    if only_check:
        check(PAGE, text)
    else:
        PAGE.write_text(text)
    return {
        "lines": text.count("\n"),
        "slopes": len(inputs.scale.slopes),
        "does_not_fit": text.count("**does not fit**"),
    }
