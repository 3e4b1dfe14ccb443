"""Reads what the process uses of its machine."""

import os

STATM_PATH = '/proc/self/statm'
DESCRIPTORS_PATH = '/proc/self/fd'


def read_resident_bytes(path=STATM_PATH):
    """Return the bytes of the process that are in memory.

    :returns: None if the system does not tell.
    """
    try:
        with open(path, 'rb') as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf('SC_PAGE_SIZE')


def count_descriptors(path=DESCRIPTORS_PATH):
    """Return the number of open descriptors of the process.

    :returns: None if the system does not tell.
    """
    try:
        return len(os.listdir(path))
    except OSError:
        return None
