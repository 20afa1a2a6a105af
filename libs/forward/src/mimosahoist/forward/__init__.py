"""Forwarding of callers' requests to upstreams by declared routes."""
