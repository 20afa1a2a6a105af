"""What is admitted of callers' requests, and when the others may return."""
