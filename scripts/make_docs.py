"""Writes docs/SETTINGS.md and docs/ERRORS.md from their definitions.

Usage: python scripts/make_docs.py
"""

import pathlib

from savorycross import errors
from savorycross import settings

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'


def make_settings():
    """Return the page on settings as Markdown."""
    lines = [
        '# Settings',
        '',
        'Made by `scripts/make_docs.py`; do not edit.',
        '',
        'Each setting of `savorycross serve` is a flag `--name` or an '
        f'environment variable `{settings.PREFIX}NAME`; flags go first. '
        'All invalid settings are reported at once at start.',
        '',
        '| setting | default | allowed | meaning |',
        '|---|---|---|---|',
    ]
    for name, field in settings.Settings.model_fields.items():
        default = 'required' if field.is_required() else f'`{field.default}`'
        row = (
            f'`{name}`',
            default,
            _describe_allowed(field),
            field.description,
        )
        lines.append('| ' + ' | '.join(row) + ' |')
    return '\n'.join(lines) + '\n'


def _describe_allowed(field):
    """Describe the values that a setting may have."""
    choices = getattr(field.annotation, '__args__', None)
    if choices:
        return ', '.join(f'`{c}`' for c in choices)
    descriptions = [
        f'{phrase} {getattr(rule, name)}'
        for rule in field.metadata
        for name, phrase in (
            ('ge', 'from'),
            ('le', 'to'),
            ('min_length', 'at least'),
            ('max_length', 'at most'),
            ('pattern', 'matches'),
        )
        if getattr(rule, name, None) is not None
    ]
    check_names = [
        rule.func.__name__.removeprefix('_check_')
        for rule in field.metadata
        if hasattr(rule, 'func')
    ]
    description_by_check = {
        'host': 'IP address',
        'address': 'IP address with a port',
        'addresses': 'IP addresses with ports',
    }
    descriptions += [description_by_check[c] for c in check_names]
    return ', '.join(descriptions).replace('|', '\\|') or 'any text'


def make_errors():
    """Return the page on error codes as Markdown."""
    lines = [
        '# Error codes',
        '',
        'Made by `scripts/make_docs.py`; do not edit.',
        '',
        'The same code is in answers (`code`), on standard error and in '
        'logs. `outcome` says whether the request has run: `not_run` is '
        'reported only where that is certain.',
        '',
        '| code | HTTP status | exit status | outcome | meaning |',
        '|---|---|---|---|---|',
    ]
    for error in find_errors():
        row = (
            f'`{error.code}`',
            str(error.http_status),
            str(error.exit_status),
            f'`{error.outcome}`',
            error.__doc__.splitlines()[0],
        )
        lines.append('| ' + ' | '.join(row) + ' |')
    return '\n'.join(lines) + '\n'


def find_errors():
    """Return all error classes, sorted by code."""
    error_classes = {
        c
        for c in vars(errors).values()
        if isinstance(c, type) and issubclass(c, errors.SavorycrossError)
    }
    return sorted(error_classes, key=lambda c: c.code)


def main():
    """Write both pages."""
    (DOCS / 'SETTINGS.md').write_text(make_settings())
    (DOCS / 'ERRORS.md').write_text(make_errors())


if __name__ == '__main__':
    main()
