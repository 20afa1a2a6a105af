"""Connections of callers: what they may hold, and who gives way when that is exceeded."""
