"""The entry instance: HTTP server, wiring and the daemon."""
