"""Control plane of one instance: loans, plans, configuration, status."""
