"""hookrouter: a traffic router for two-tier caches."""

__version__ = "0.3.0"
