"""Builders of test data, one module per area."""
