"""Keep the requests of a workspace within its quota over all instances."""
