"""The HTTP interface of an instance for callers and operators."""
