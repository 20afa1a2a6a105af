"""Moves: gradual shifts of a service's traffic to a new upstream version."""
