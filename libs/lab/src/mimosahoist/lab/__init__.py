"""Stand-ins for upstreams and platform, load, experiments and measurements."""
