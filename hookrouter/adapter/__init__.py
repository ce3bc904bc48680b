"""The simulator's wire before the decisions: words and units only."""
