"""Test stand-ins: programs that take the place of the systems around the router and can inject faults."""
