"""Measurements; each is a command that prints its figures and its seed."""
