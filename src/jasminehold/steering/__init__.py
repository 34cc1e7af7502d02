"""Steering of one instance: places, upstreams and look-up answers."""
