"""Hollow routers: all control traffic of a router, by the program's own code, without lookups.

python -m standins.hollow CONFIG.json hosts dozens of them in one process; see docs/design/scale.md.
"""

from .configuration import Configuration, ConfigurationRefused, RouterPlace
from .process import HollowProcess
from .report import Report

__all__ = ["Configuration", "ConfigurationRefused", "HollowProcess", "Report", "RouterPlace"]
