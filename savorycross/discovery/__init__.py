"""What the store holds: configuration, targets, instances."""
