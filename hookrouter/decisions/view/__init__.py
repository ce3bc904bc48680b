"""Group membership and failure detection as one member sees it: probes, suspicion, refutation and gossip."""

from .members import View as View
from .protocol import Member as Member
from .protocol import Terms as Terms
