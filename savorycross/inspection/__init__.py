"""Checks of a configuration before operators send it."""
