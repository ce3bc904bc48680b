"""The fleet: member/ runs one member process, wire/ carries messages between members.

The decisions themselves are made in hookrouter/decisions.
"""
