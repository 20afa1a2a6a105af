"""Search and run requests: scatter, gather, admission, retries, at-most-once."""
