"""Roll-outs: moving a service to a new version of its targets."""
