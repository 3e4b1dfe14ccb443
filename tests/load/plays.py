"""Plays of load patterns, several at once in processes of their own."""

import concurrent.futures
import functools
import multiprocessing
import os

from bench import load
from standins.fleet import fleet
from standins.fleet import pattern
from standins.fleet import variant

SEEDS = (1, 2)
MAX_PROCESSES = 4


@functools.cache
def _start_executor():
    return concurrent.futures.ProcessPoolExecutor(
        min(MAX_PROCESSES, os.cpu_count() or 1),
        # Forked processes could inherit locks that threads hold.
        multiprocessing.get_context('spawn'),
    )


@functools.cache
def submit(name, variant_name, seed):
    """Start a play, unless it was started already.

    :param name: name of the pattern.
    :returns: future of its Report.
    """
    return _start_executor().submit(_play, name, variant_name, seed)


def play(name, variant_name, seed):
    """Return the Report of a play; see ``submit``."""
    return submit(name, variant_name, seed).result()


def stop():
    """End the plays that nobody has asked for yet."""
    _start_executor().shutdown(cancel_futures=True)


def _play(name, variant_name, seed):
    (path,) = load.find_patterns(name)
    read = pattern.read_pattern(path)
    return fleet.Fleet(read, seed, variant.VARIANTS[variant_name]).run()
