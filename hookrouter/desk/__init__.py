"""The control side of purges: the desk, which orders and keeps them, and relays, which tell them on.

Processes of their own beside the routers. What they decide is in hookrouter/purges; here it meets HTTP, the
store's thread and the clock.
"""
