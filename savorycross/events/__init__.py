"""Clock, journal and log of events, and traces of requests from logs."""
