"""Failure detection and the agreed view of the instances."""
