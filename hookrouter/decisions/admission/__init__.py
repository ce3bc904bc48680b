"""Admission control at a gateway after a restart, and the reconnection policy of its followers."""

from .gate import Gate as Gate
from .messages import Arrival as Arrival
from .messages import Terms as Terms
from .reconnect import Reconnector as Reconnector
