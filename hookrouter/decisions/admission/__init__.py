"""Storms of returns: who is admitted when at a gateway that all come back to, and how each one comes."""

from .comer import Comer as Comer
from .gate import Gate as Gate
from .words import Come as Come
from .words import Terms as Terms
