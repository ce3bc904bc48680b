"""What routers do as a fleet: member/ (one process), wire/ (bytes among members). Decides nothing itself:
see hookrouter/decisions.
"""
