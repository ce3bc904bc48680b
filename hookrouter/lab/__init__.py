"""The lab: a model of two-tier caches in simulated time, for questions about scale and failure.

Discrete events, deterministic by seed. So far its stations stand, checked against queueing theory: queues,
links that share their bandwidth, caches that keep what was asked for last. Fleets, faults and experiments
are built on them.
"""
