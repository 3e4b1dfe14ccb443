"""Models of targets and the platform, for tests, benchmarks and the demo."""
