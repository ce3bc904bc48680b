"""State that matters, kept by several members: what a copy takes in, fetches, and does where it differs."""
