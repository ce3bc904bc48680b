"""Every decision of the router, by six mechanisms under five rules: decide(now, inputs) -> effects."""

from .router import Control as Control
