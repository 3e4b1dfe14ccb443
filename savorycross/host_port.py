"""Parsing of addresses that have a host and a port."""

import ipaddress


def split(text):
    """Return the host and the port of a text such as ``127.0.0.1:80``.

    :param text: IP address, a colon and a TCP or UDP port; brackets around
        an IPv6 address are removed.
    :returns: the host as text and the port as an int.
    :raises ValueError: if the text is not an IP address with a port.

    >>> split('[::1]:80')
    ('::1', 80)
    """
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
        raise ValueError(f'{text!r} has no port from 1 to 65535')
    return host, int(port)
