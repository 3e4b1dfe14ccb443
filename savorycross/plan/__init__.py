"""Planning of queries: the snapshot, its shards and their replica sets."""
