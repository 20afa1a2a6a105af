"""Settings, errors, logging, metrics and tracing shared by all libraries."""
