"""Workspaces of callers: whose request it is, and whether its key holds."""
