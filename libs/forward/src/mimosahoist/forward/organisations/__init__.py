"""Organisations: their callers' keys, and the count of their requests."""
