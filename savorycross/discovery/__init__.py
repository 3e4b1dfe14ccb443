"""A local copy of the store: configuration, targets and instances."""
