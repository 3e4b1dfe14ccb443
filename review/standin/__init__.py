"""Stand-ins for the platform's store, backends and callers of the cases."""
