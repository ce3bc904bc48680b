"""One router process: its Control, the lookups in progress, and the execution of Control's effects."""
