"""Fault soak: real processes, faults injected from outside, checks."""
