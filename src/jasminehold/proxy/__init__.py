"""Callers' requests over HTTP/1.1, carried to upstreams."""
