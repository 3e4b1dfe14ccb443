"""Tests of the decision to send to another data centre."""
