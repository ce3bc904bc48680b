"""Who is in the fleet, as one member sees it: probes, suspicion, refutation, news; whether it has settled."""

from .members import View as View
from .words import Row as Row
from .words import Terms as Terms
