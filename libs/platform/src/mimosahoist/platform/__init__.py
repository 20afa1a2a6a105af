"""Interfaces of the platform's store, an HTTP client and versioned local copies."""
