"""Bookings, each of which runs at most once."""
