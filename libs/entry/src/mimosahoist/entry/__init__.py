"""The entry instance: HTTP servers, component wiring and the daemon."""
