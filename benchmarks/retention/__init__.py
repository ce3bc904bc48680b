"""Retention of purges for a whole hold at 32 a second: filters weighed, shares held, cost of a guard."""

from .bench import run

__all__ = ["run"]
