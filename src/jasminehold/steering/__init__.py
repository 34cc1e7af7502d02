"""Selection of places and upstreams, and answers to lookups."""
