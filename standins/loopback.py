"""Loopback addresses that no other run on this host uses."""

import functools
import itertools
import random
import socket

LOCK_HOST = 254
LOCK_PORT = 20299
# Below the range from which the kernel chooses ports.
FIRST_PORT = 20300
_ports = itertools.count(FIRST_PORT)


class NoNetworkError(Exception):
    """All networks that were tried are in use."""


@functools.cache
def hold_network():
    """Return a network of this process, such as ``127.20.7``.

    It is held until the process ends.

    :raises NoNetworkError: if none is free.
    """
    rng = random.SystemRandom()
    for _ in range(100):
        network = f'127.{rng.randint(10, 209)}.{rng.randint(0, 249)}'
        if _hold(f'{network}.{LOCK_HOST}'):
            return network
    raise NoNetworkError


def find_host():
    """Return an IP address of this process."""
    return f'{hold_network()}.1'


def find_address():
    """Return a host and a port that nothing has used before."""
    return find_host(), next(_ports)


# The sockets that hold the networks.
_locks = []


def _hold(host):
    lock = socket.socket()
    try:
        lock.bind((host, LOCK_PORT))
        lock.listen()
    except OSError:
        lock.close()
        return False
    _locks.append(lock)
    return True
