"""Replicated copies of records: what a copy stores, fetches from other keepers, and does when it diverges."""
