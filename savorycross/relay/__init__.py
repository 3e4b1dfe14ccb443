"""Dispatch of query parts to the targets that an instance owns."""
