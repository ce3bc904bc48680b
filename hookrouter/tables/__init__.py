"""Numbered slots, the one order of deadlines, and the room for bodies."""
