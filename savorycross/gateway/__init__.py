"""Requests by route: from a caller to targets and back."""
