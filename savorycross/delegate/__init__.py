"""Sends that an instance near the targets makes on another's behalf."""
