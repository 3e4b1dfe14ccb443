"""A model of many instances, their targets and callers on a simulated clock.

The instances run the product's gateway, engine and decisions; network,
targets and callers are models. A run is determined by its pattern and seed.
"""
