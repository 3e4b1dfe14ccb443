"""Checks of status lines that the parser lets pass."""

import httptools

# RFC 9110, section 15: codes outside of this range are invalid.
MIN_STATUS = 100
MAX_STATUS = 599
# Those of HTTP/1; the parser takes 0.9 and 2.0 as well.
VERSIONS = ('1.0', '1.1')


def check(parser):
    """Refuse a reply whose status line HTTP/1 does not have.

    :param parser: HttpResponseParser that has read the head of the reply.
    :raises httptools.HttpParserError: if its status or version is invalid.
    """
    status = parser.get_status_code()
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise httptools.HttpParserError(f'status {status}')
    version = parser.get_http_version()
    if version not in VERSIONS:
        raise httptools.HttpParserError(f'version {version}')
