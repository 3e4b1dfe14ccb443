"""Membership: which instances exist and are alive, by heartbeats."""
