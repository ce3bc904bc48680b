"""All decisions of the router, without I/O: Control.decide(now, inputs) returns the effects to carry out."""

from .router import Control as Control
