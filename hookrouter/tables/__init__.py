"""In-memory tables that make no decisions: router state, copies, numbered slots, deadlines, body memory."""
