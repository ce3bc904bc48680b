"""Hollow routers: all that a router says and hears for control, by the program's own code, without lookups.

python -m standins.hollow CONFIG.json hosts dozens of them in one process; docs/design/scale.md says how.
"""

from .configuration import Configuration, ConfigurationRefused, RouterPlace
from .process import HollowProcess
from .report import Report

__all__ = ["Configuration", "ConfigurationRefused", "HollowProcess", "Report", "RouterPlace"]
