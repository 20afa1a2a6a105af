"""Cluster membership and gossip-based state exchange between instances."""
