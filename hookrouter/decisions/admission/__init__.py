"""Storms of returns: who is admitted when at a gateway that all come back to, and how each one comes."""

from .reconnect import Reconnector as Reconnector
from .gate import Gate as Gate
from .messages import Arrival as Arrival
from .messages import Terms as Terms
