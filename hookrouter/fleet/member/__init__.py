"""A fleet member: runs the decision state machines on sockets, clocks and a disk."""
