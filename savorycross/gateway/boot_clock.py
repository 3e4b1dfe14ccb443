"""Reads the clock that goes on while the node is suspended."""

import time


def read_boot_clock():
    """Return the seconds since the boot, also while it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_suspended_s():
    """Return the seconds for which the node was suspended since its boot."""
    return read_boot_clock() - time.monotonic()
