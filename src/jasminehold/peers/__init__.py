"""Authenticated msgpack streams between instances."""
