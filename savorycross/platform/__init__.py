"""Adapter to the operators' platform: its names, formats and calls.

The package only translates and makes no decisions. It is imported as
``savorycross.platform``; a top-level package of this name would hide the
standard library's module.
"""
