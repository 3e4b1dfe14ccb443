"""HTTP/1.1 over plain sockets, for callers, targets and the store."""
