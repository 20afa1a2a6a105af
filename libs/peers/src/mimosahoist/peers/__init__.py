"""Membership and state exchange between the system's own instances."""
