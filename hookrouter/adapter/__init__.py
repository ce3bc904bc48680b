"""Connects the decisions to the simulator: translates names and units, nothing else."""
