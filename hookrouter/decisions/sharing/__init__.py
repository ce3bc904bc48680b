"""What members of a fleet tell each other of load and health, merged within a bound set by caches."""

from .board import Board as Board
from .words import Summary as Summary
from .words import Terms as Terms
