"""Names, formats and calls of the platform that the users run.

The package decides nothing. It is imported as ``savorycross.platform``; a
top-level package of this name would hide the standard library's module.
"""
