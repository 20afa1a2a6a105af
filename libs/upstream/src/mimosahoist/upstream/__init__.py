"""Connections to upstreams, their limits and health, and the selection among replicas."""
