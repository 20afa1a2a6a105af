"""Search and run requests: scatter-gather, admission control, retries, at-most-once execution."""
