"""Load spread evenly though each router sees little: how busy others keep a cache, shares of cold ones as
leases, and who finds a recovered one. Decisions: no file, socket, clock.
"""

from .spread import Spread, spread_terms
from .messages import SpreadTerms

__all__ = ["Spread", "SpreadTerms", "spread_terms"]
