"""The fleet members' decisions, one package each, as cores without I/O: events and a time in, effects out.

In the layering of packages, stores, desk, feed, node and fleet are above and use this one; control and purges
are below.
"""
