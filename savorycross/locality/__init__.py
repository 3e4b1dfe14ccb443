"""Decides which sends go to another data centre."""
