"""Merging of shard results into one answer with its coverage."""
