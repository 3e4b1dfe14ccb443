"""Which services a request goes to."""
