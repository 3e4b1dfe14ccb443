"""Rendering of the results of commands."""

import msgspec


def render(value, as_json):
    """Return a value as indented lines of text, or as JSON.

    :param value: value that msgspec can encode as JSON.
    :param as_json: whether to return JSON.

    >>> print(render({'a': 1, 'b': ['x', 'y']}, as_json=False))
    a: 1
    b:
      x
      y
    """
    plain = msgspec.json.decode(msgspec.json.encode(value))
    if as_json:
        return msgspec.json.encode(plain).decode()
    return '\n'.join(_format_lines(plain, ''))


def _format_lines(value, indent):
    if isinstance(value, dict):
        for key, item in value.items():
            if isinstance(item, (dict, list)) and item:
                yield f'{indent}{key}:'
                yield from _format_lines(item, indent + '  ')
            else:
                yield f'{indent}{key}: {_format_scalar(item)}'
    elif isinstance(value, list):
        for item in value:
            if isinstance(item, dict):
                flat = ', '.join(
                    f'{k}={_format_scalar(v)}' for k, v in item.items()
                )
                yield f'{indent}{flat}'
            else:
                yield f'{indent}{_format_scalar(item)}'
    else:
        yield f'{indent}{_format_scalar(value)}'


def _format_scalar(value):
    if isinstance(value, str):
        return value
    if value in ([], {}):
        return '-'
    return msgspec.json.encode(value).decode()
