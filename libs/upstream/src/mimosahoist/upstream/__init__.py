"""Connections, limits, health and replica choice towards upstreams."""
