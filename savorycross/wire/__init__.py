"""HTTP/1.1 over plain sockets, for callers, targets and the store.

Timers and the decoding of versioned messages are here as well.
"""
