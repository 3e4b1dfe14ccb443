"""A query tier over many shards.

An answer to a query comes from a single snapshot and states its coverage;
bookings run at most once.
"""

__version__ = "0.1.0"
