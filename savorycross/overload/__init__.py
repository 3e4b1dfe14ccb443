"""Decisions about work under load, without input or output."""
