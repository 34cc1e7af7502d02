"""Stand-ins (fakes) for external systems, for tests and demos."""
