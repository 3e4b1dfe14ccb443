"""Routes, which map requests to services, and their configuration."""
