"""A graceful stop: callers leave first, then owners, then the process."""

import trio

POLL_INTERVAL_S = 0.05
LATE_MESSAGE_GRACE_S = 1.5
GOSSIP_DELAY_S = 1.0
TICKET_GRACE_S = 1.0


async def drain(instance, app, log):
    """Take an instance out of service; return once it may end.

    The steps are, in this order:

    - leave the list of entries, and serve until the answers that callers
      have cached have expired;
    - issue no more tickets, but still run the bookings of issued tickets for
      ``TICKET_GRACE_S``;
    - finish what is in flight;
    - leave the view, so that other instances own the replica sets;
    - serve messages that still arrive for ``LATE_MESSAGE_GRACE_S``, and
      finish what is in flight.

    :param instance: Instance.
    :param app: the HTTP App.
    :param log: logger.
    """
    instance.leaving = True
    log.info('stop: left the entry answer')
    instance.journal.record('stop.begun', instance.own.name)
    await trio.sleep(instance.dependencies.keep_s + GOSSIP_DELAY_S)
    instance.bookings.stop_issuing()
    await trio.sleep(TICKET_GRACE_S)
    await _poll_until(lambda: not _is_busy(instance, app))
    with trio.move_on_after(instance.dependencies.keep_s):
        await instance.group.leave()
    log.info('stop: left the view')
    await trio.sleep(LATE_MESSAGE_GRACE_S)
    await _poll_until(lambda: not _is_busy(instance, app))
    instance.journal.record('stop.ended', instance.own.name)


def count_in_flight(instance, app):
    """Return the number of requests and parts in progress."""
    return (
        app.in_progress
        + instance.queries.in_progress
        + instance.bookings.in_progress
        + instance.relay.open_part_count
    )


def _is_busy(instance, app):
    return count_in_flight(instance, app) > 0


async def _poll_until(condition):
    while not condition():
        await trio.sleep(POLL_INTERVAL_S)
