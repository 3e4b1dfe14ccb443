"""Keep the sends to a target within the rate that it states."""
