"""What members of a fleet decide, each a package of its own: events and a time in, effects out; no I/O.

A floor of its own: the stores, desk, feed, node and fleet above it use it, control and purges stand below.
"""
