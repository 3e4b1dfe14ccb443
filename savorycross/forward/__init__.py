"""Forwards requests to targets: selection, limits, retries and hedges."""
