"""Settings, errors, logs, metrics and traces shared by all libraries."""
