"""A crowd: hundreds of real processes on loopback, the routers and stand-ins for the systems around them."""

from .crowd import Crowd

__all__ = ["Crowd"]
