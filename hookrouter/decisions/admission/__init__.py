"""Storms of returns: who is admitted when at a gateway that all come back to, and how each one comes."""

from .gate import Gate as Gate
from .messages import Arrival as Arrival
from .messages import Terms as Terms
from .reconnect import Reconnector as Reconnector
