"""Counters, gauges and histograms."""
