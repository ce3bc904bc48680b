"""Bytes in, values out: each takes any split of its input and raises nothing but its one error."""
