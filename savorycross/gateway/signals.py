"""Handles the signals of an instance."""

import signal

import trio

from savorycross.events import failure


async def handle_signals(start, reload, stop):
    """Call a function at each SIGHUP, and stop at a signal to do so.

    :param start: callable without arguments that starts the instance, called
        as soon as signals are handled.
    :param reload: callable without arguments.
    :param stop: async function that stops the instance; signals that arrive
        while it runs have no effect.
    """
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        start()
        async for number in received:
            if number != signal.SIGHUP:
                break
            # The loop also waits for the signal to stop.
            with failure.contained('reload'):
                reload()
        await stop()
