"""One router: its Control, the lookups it holds, and how the module's effects are carried out."""
