"""Client library of callers."""
