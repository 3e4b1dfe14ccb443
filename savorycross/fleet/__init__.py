"""Which instances are there, told by heartbeats between them."""
