"""Incremental parsers. Each accepts its input in arbitrary pieces and raises only its own Malformed error."""
