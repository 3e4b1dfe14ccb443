"""HTTP clients for targets."""
