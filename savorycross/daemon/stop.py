"""A planned stop: callers leave first, then owners, then the process."""

import trio

POLL_S = 0.05
QUIET_S = 1.5
SPREAD_S = 1.0
TICKET_GRACE_S = 1.0


async def drain(instance, app, log):
    """Serve until nobody needs this instance any more.

    The instance leaves the entry answer at once, serves until the kept
    answers have run out, issues no more tickets but still runs the bookings
    of those it has issued for a while, leaves the view so that its replica
    sets get other owners, and ends what is in flight.

    :param instance: Instance.
    :param app: the HTTP App.
    """
    instance.leaving = True
    log.info('stop: left the entry answer')
    instance.journal.record('stop.begun', instance.own.name)
    await trio.sleep(instance.outside.keep_s + SPREAD_S)
    instance.bookings.stop_issuing()
    await trio.sleep(TICKET_GRACE_S)
    await _wait_until(lambda: not _serving(instance, app))
    with trio.move_on_after(instance.outside.keep_s):
        await instance.group.leave()
    log.info('stop: left the view')
    await trio.sleep(QUIET_S)
    await _wait_until(lambda: not _serving(instance, app))
    instance.journal.record('stop.ended', instance.own.name)


def in_flight(instance, app):
    """Return the number of requests, parts and attempts in progress."""
    return (
        app.in_progress
        + instance.queries.in_progress
        + instance.bookings.in_progress
        + instance.relay.parts_open
    )


def _serving(instance, app):
    return in_flight(instance, app) > 0


async def _wait_until(condition):
    while not condition():
        await trio.sleep(POLL_S)
