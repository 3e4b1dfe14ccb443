"""Benchmarks: load generators, experiments and plots."""
