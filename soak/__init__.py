"""Runs instances as processes under injected faults and checks invariants."""
