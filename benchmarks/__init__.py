"""Measurements of the project: python -m benchmarks NAME [--quick]."""
