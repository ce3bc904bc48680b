"""hookrouter: a traffic router for two-tier caches."""
