"""Numbered slots and the one order of deadlines."""
