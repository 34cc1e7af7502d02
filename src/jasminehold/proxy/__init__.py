"""HTTP/1.1 proxy between callers and upstreams."""
