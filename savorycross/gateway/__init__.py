"""The gateway, which forwards callers' requests to targets by route."""
