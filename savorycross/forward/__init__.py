"""One request at targets: choice, limits, retries, hedges, merging."""
