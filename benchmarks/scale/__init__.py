"""The scale run: hollow routers beside real ones, measured by role and kind of message at several sizes."""

import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

from standins.crowd.region_crowd import NotReady
from standins.crowd.regions import Plan
from standins.crowd.remote import ROOT

from . import room
from .figures import results_of, summary
from .judge import Verdict
from .results import write
from .roles import who_has_what
from .scenes import SCENES, Scene
from .session import Measured, Session, Settings, finish, measure_size, open_session, wanted
from .snapshot import LagMeter

DATA_FILE = ROOT / "docs" / "results" / "scale.json"
FIGURES_FILE = DATA_FILE.with_name("scale-figures.json")  # the last line of that run
VERBOSE = "SCALE_VERBOSE"  # in the environment: progress is shown on other than a terminal, too
SPARE_LOOKUPS_S = 900.0  # seconds of lookups that are begun; they end with the run

QUICK = Settings(
    plan=Plan(),
    sizes=(32, 64, 96, 128),
    beyond=(300,),
    beyond_purges_per_s=4.0,
    in_process=32,
    loaded=6,
    seconds=8.0,
    settle=2.0,
    budget=110.0,
    purges_per_s=32.0,
    lookups_per_s=60.0,
)
FULL = replace(QUICK, seconds=20.0, settle=4.0, budget=600.0)


SHOWN = 5  # breaks of each rule that are printed; the figures count all


def run(quick: bool, full: bool = False) -> dict[str, object]:
    """Figures of the run; with full the data file is written, too."""
    begun = time.monotonic()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that all processes are ended, too

    def tell(text: str) -> None:
        if sys.stderr.isatty() or VERBOSE in os.environ:
            print(f"{time.monotonic() - begun:6.1f} s  {text}", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        session, verdict = play(Path(folder), FULL if full else QUICK, tell)
    for name in verdict.never_up[:SHOWN]:
        print(f"never up: {name}", file=sys.stderr)
    for broken in (*verdict.lost[:SHOWN], *verdict.said_too_early[:SHOWN], *verdict.old_copies[:SHOWN]):
        print(f"rule broken: {broken}", file=sys.stderr)
    figures = summary(session, verdict)
    if full:
        write(DATA_FILE, results_of(session))
        FIGURES_FILE.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    return figures


def play(
    folder: Path, settings: Settings, tell: Callable[[str], None], scenes: tuple[Scene, ...] = SCENES
) -> tuple[Session, Verdict]:
    """The whole of a run; NotEnoughRoom before anything is started, where the machine is too small."""
    until = time.monotonic() + settings.budget
    room.check(wanted(settings), room.machine())
    crowd, submitter = open_session(folder, settings, tell)
    with crowd:
        session, lag = Session(crowd, submitter, until), LagMeter()
        who_has_what(crowd)  # a hand-over of the desk, where one is needed, comes before the first purge
        submitter.start()
        crowd.load.start(SPARE_LOOKUPS_S, settings.lookups_per_s)
        session.measured += _grow(session, settings, settings.sizes, lag, settings.settle)
        for scene in scenes:
            if not session.late():
                begun = time.time()
                scene(session)
                session.scenes[scene.__name__] = begun, time.time()
        if settings.beyond:
            submitter.change_rate(settings.beyond_purges_per_s)
            session.beyond += _grow(session, settings, settings.beyond, lag, settings.beyond_settle)
        crowd.load.stop()
        verdict = finish(session)
        lag.stop()
    return session, verdict


def _grow(
    session: Session, settings: Settings, sizes: tuple[int, ...], lag: LagMeter, settle: float
) -> Iterator[Measured]:
    """From size to size, until one is not reached or cannot be measured: what ended it is told."""
    for hollow in sizes:
        if session.late():
            session.ended_by = f"{hollow} hollow routers: the time of the run"
            return
        try:
            measured = measure_size(session, settings, hollow, lag, session.submitter.rate, settle)
        except NotReady as wrong:
            session.ended_by = f"{hollow} hollow routers: {wrong}"
            return
        if measured is None:
            session.ended_by = session.starved[-1]
            return
        yield measured
