"""A discrete-event simulation of two-tier caches, deterministic by seed, to study scale and failure.

Its building blocks, checked against queueing theory, are queues, links with shared bandwidth and LRU caches.
"""
