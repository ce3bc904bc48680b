"""Load spread evenly though each router sees little: how busy others keep a cache, shares of cold ones as
leases, and who finds a recovered one. Decisions: no file, socket, clock.
"""

from .messages import SpreadTerms
from .spread import Spread, spread_terms

__all__ = ["Spread", "SpreadTerms", "spread_terms"]
