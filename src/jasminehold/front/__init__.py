"""Proxy instance in front of the upstreams on the users' platform."""
