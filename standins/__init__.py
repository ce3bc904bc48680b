"""Programs that speak to the router's processes and misbehave on request."""
