"""A client for targets over HTTP with JSON.

The client keeps a pool of connections to each target and polls each
target's inventory.
"""

import collections
import itertools

import trio

from savorycross.relay import job
from savorycross.target import connection
from savorycross.target import messages

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 2.0
# Time for a reply to arrive after the attempt has ended at the target.
REPLY_GRACE_S = 0.25
_NOT_SENT = job.AttemptResult(job.Status.UNSENT)


class _ConnectionPool:
    """Sends attempts to one target and polls its inventory.

    One connection, the control connection, serves polling and cancellation;
    the others carry attempts and are opened on demand, up to the target's
    limit. Each new connection first requests the inventory, so that the
    target process at its other end is known before it gets work.

    :param target: the declared Target.
    :param client: the HttpTargetClient that gets results and inventories.
    :param nursery: nursery for the tasks of the connections.
    """

    def __init__(self, target, client, nursery):
        self.target = target
        self._client = client
        self._nursery = nursery
        self._idle = []
        # Each connection for attempts, open or being opened, by the id of
        # the attempt that it was opened for.
        self._opened_for = set()
        self._conns_by_attempt = {}
        self._backlog = collections.deque()
        self._control = None
        self._control_queue = collections.deque()
        self._poll_ids = itertools.count(1)
        self._max_connections = max(
            1, min(target.slots, target.connections - 1)
        )
        self._scope = trio.CancelScope()

    async def run(self):
        """Poll the target's inventory until the pool is closed."""
        with self._scope:
            while True:
                await self._poll()
                interval_s = self._client.check_interval_s(self.target.name)
                await trio.sleep(max(interval_s, POLL_INTERVAL_S))

    def close(self):
        """Stop polling and close the idle and the control connections."""
        self._scope.cancel()
        for conn in list(self._idle):
            conn.close()
        if self._control:
            self._control.close()

    async def send(self, action):
        """Send an attempt on an idle or a new connection.

        The attempt waits for a connection if the target's limit is reached.

        :param action: a job.Send.
        """
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_open:
                continue
            if action.boot and conn.boot != action.boot:
                conn.close()
                continue
            await self._write(conn, action)
            return
        if len(self._opened_for) >= self._max_connections:
            self._backlog.append(action)
            return
        self._opened_for.add(action.attempt_id)
        self._nursery.start_soon(self._open_and_run, action)

    async def cancel(self, action):
        """Ask the target to stop an attempt.

        :param action: a job.Cancel.
        """
        if action.attempt_id not in self._conns_by_attempt:
            return
        if self._control is None or not self._control.is_open:
            return
        key = self._client.format_attempt_id(action.attempt_id)
        body = b'{"attempt":"%s"}' % key
        self._control_queue.append(
            messages.encode_request(
                b'POST', b'/v1/cancel', [(messages.ATTEMPT_HEADER, key)], body
            )
        )
        await self._send_next_control()

    async def _open_and_run(self, action):
        """Open a connection for an attempt and reuse it for later ones."""
        opened_for = action.attempt_id
        try:
            conn = await self._connect(self._on_reply)
            if conn is None:
                self._client.on_result(action.attempt_id, _NOT_SENT)
                return
            await self._run_connection(conn, action)
        finally:
            self._opened_for.discard(opened_for)
            self._open_for_backlog()

    async def _connect(self, on_complete):
        try:
            stream = await connection.connect(
                self.target.host, self.target.port
            )
        except (OSError, trio.TooSlowError):
            return None
        return connection.Connection(stream, on_complete)

    async def _run_connection(self, conn, action):
        await self._request_inventory(conn, context=action)
        is_cancelled = await conn.run()
        if conn in self._idle:
            self._idle.remove(conn)
        self._report_loss(conn, is_cancelled)

    def _report_loss(self, conn, is_cancelled):
        """Report the result of the attempt that an ended connection carried.

        An attempt still waiting for the connection's first inventory was
        not sent.
        """
        exchange = conn.pending
        if exchange is None:
            self._client.on_connection_lost(self.target.name, conn.boot)
            return
        action = exchange.context
        self._conns_by_attempt.pop(action.attempt_id, None)
        status = job.Status.TIMEOUT if is_cancelled else job.Status.LOST
        if exchange.key.startswith(b'poll-'):
            status = job.Status.UNSENT
        self._client.on_result(action.attempt_id, job.AttemptResult(status))

    async def _request_inventory(self, conn, context):
        key = b'poll-%d' % next(self._poll_ids)
        data = messages.encode_request(
            b'GET', b'/v1/inventory', [(messages.ATTEMPT_HEADER, key)]
        )
        exchange = connection.Exchange(key=key, context=context)
        deadline = trio.current_time() + POLL_TIMEOUT_S
        self._client.on_request(self.target.name)
        await conn.send(exchange, data, deadline)

    def _on_reply(self, conn, exchange):
        """Process a complete reply on a connection that carries attempts."""
        if exchange.key.startswith(b'poll-'):
            self._on_first_inventory(conn, exchange)
            return
        attempt_id = exchange.context.attempt_id
        self._conns_by_attempt.pop(attempt_id, None)
        result = messages.decode_result(
            exchange.code, exchange.headers, exchange.body
        )
        if result.boot and result.boot != conn.boot:
            conn.is_open = False
        if result.status is job.Status.VERSION_GONE:
            self._report_inventory(exchange)
        self._client.on_result(attempt_id, result)
        self._release(conn)

    def _on_first_inventory(self, conn, exchange):
        """Use a new connection once its target process is known."""
        action = exchange.context
        if not self._store_boot(conn, exchange):
            conn.is_open = False
            self._client.on_result(action.attempt_id, _NOT_SENT)
            return
        if action.boot and conn.boot != action.boot:
            self._client.on_result(action.attempt_id, _NOT_SENT)
            self._release(conn)
            return
        self._nursery.start_soon(self._write, conn, action)

    def _store_boot(self, conn, exchange):
        """Store the boot identity that an inventory reply states.

        :returns: whether the reply has a valid inventory.
        """
        if exchange.code != 200:
            return False
        inventory = self._report_inventory(exchange)
        if inventory is None:
            return False
        conn.boot = inventory.boot
        return True

    def _report_inventory(self, exchange):
        """Report the inventory in a reply and return it.

        :returns: the TargetInventory, or None if the body is not a valid
            inventory.
        """
        try:
            inventory = messages.decode_inventory(
                self.target.name,
                exchange.headers,
                exchange.body,
                self._client.next_stamp(),
            )
        except ValueError:
            return None
        self._client.on_inventory(inventory, exchange.sent_at)
        return inventory

    def _release(self, conn):
        """Use a connection for the next waiting attempt, or make it idle."""
        if not conn.is_open:
            return
        if self._scope.cancel_called and not self._backlog:
            conn.close()
            return
        if self._backlog:
            action = self._backlog.popleft()
            self._nursery.start_soon(self._write, conn, action)
            return
        self._idle.append(conn)

    def _open_for_backlog(self):
        """Open a connection for the next waiting attempt."""
        if self._backlog and len(self._opened_for) < self._max_connections:
            action = self._backlog.popleft()
            self._opened_for.add(action.attempt_id)
            self._nursery.start_soon(self._open_and_run, action)

    async def _write(self, conn, action):
        """Write the request of an attempt unless the attempt has ended."""
        now = trio.current_time()
        remaining_s = action.ends_at - now
        if remaining_s <= 0:
            self._client.on_result(action.attempt_id, _NOT_SENT)
            self._release(conn)
            return
        key = self._client.format_attempt_id(action.attempt_id)
        path, body = messages.encode_job(action.job, key.decode(), remaining_s)
        data = messages.encode_request(
            b'POST', path, [(messages.ATTEMPT_HEADER, key)], body
        )
        exchange = connection.Exchange(key=key, context=action)
        self._conns_by_attempt[action.attempt_id] = conn
        deadline = action.ends_at + REPLY_GRACE_S
        await conn.send(exchange, data, deadline)

    async def _poll(self):
        """Request the inventory, connecting first if necessary."""
        if self._control is None or not self._control.is_open:
            conn = await self._connect(self._on_control_reply)
            if conn is None:
                self._client.on_connection_lost(self.target.name, '')
                return
            self._control = conn
            self._nursery.start_soon(self._run_control, conn)
        if self._control.pending is None:
            await self._request_inventory(self._control, context=None)

    async def _run_control(self, conn):
        await conn.run()
        self._control_queue.clear()
        self._client.on_connection_lost(self.target.name, conn.boot)

    def _on_control_reply(self, conn, exchange):
        if exchange.key.startswith(b'poll-'):
            self._store_boot(conn, exchange)
        if self._control_queue:
            self._nursery.start_soon(self._send_next_control)

    async def _send_next_control(self):
        """Send the next queued cancellation if the connection is free."""
        conn = self._control
        if not self._control_queue or conn.pending is not None:
            return
        data = self._control_queue.popleft()
        key = _find_header(data, messages.ATTEMPT_HEADER)
        exchange = connection.Exchange(key=key, context=None)
        deadline = trio.current_time() + POLL_TIMEOUT_S
        self._client.on_request(self.target.name)
        await conn.send(exchange, data, deadline)


def _find_header(data, name):
    """Return the value of a header in an encoded request."""
    start = data.index(name + b': ') + len(name) + 2
    return data[start : data.index(b'\r\n', start)]


class HttpTargetClient:
    """A TargetClient over HTTP with JSON.

    :param instance: name of this instance and its incarnation; part of the
        attempt ids that targets see.
    :param clock: HybridClock for the stamps of inventories.
    :param nursery: nursery for the tasks of all connections.
    :param on_result: called with an attempt id and an AttemptResult.
    :param on_inventory: called with a TargetInventory and the runtime clock
        time at which it was asked for.
    :param on_connection_lost: called with a target's name and the boot
        identity of the process that was connected; the identity is empty
        if it is unknown.
    :param on_request: called with a target's name before a request that is
        not an attempt: of its inventory, or a cancellation.
    :param check_interval_s: callable of a target's name; returns the seconds
        to wait at least between requests of its inventory.
    """

    def __init__(
        self,
        instance,
        clock,
        nursery,
        on_result,
        on_inventory,
        on_connection_lost,
        on_request,
        check_interval_s,
    ):
        self.on_result = on_result
        self.on_inventory = on_inventory
        self.on_connection_lost = on_connection_lost
        self.on_request = on_request
        self.check_interval_s = check_interval_s
        self._attempt_prefix = instance.encode()
        self._clock = clock
        self._nursery = nursery
        self._pools = {}

    def next_stamp(self):
        """Return a hybrid clock stamp for an observation made now."""
        return self._clock.tick()

    def format_attempt_id(self, attempt_id):
        """Return the id by which a target knows an attempt, as bytes.

        The id is unique across all instances.
        """
        return b'%s.%d' % (self._attempt_prefix, attempt_id)

    def reconcile(self, targets):
        """Poll exactly these declared targets and disconnect from others."""
        targets_by_name = {t.name: t for t in targets}
        for name in list(self._pools):
            if self._pools[name].target != targets_by_name.get(name):
                self._pools.pop(name).close()
        for name, target in targets_by_name.items():
            if name not in self._pools:
                pool = _ConnectionPool(target, self, self._nursery)
                self._pools[name] = pool
                self._nursery.start_soon(pool.run)

    async def send(self, action):
        """Send an attempt, or report at once that it was not sent.

        :param action: a job.Send.
        """
        pool = self._pools.get(action.target)
        if pool is None:
            self.on_result(action.attempt_id, _NOT_SENT)
            return
        await pool.send(action)

    async def cancel(self, action):
        """Ask the target to stop an attempt.

        :param action: a job.Cancel.
        """
        pool = self._pools.get(action.target)
        if pool is not None:
            await pool.cancel(action)
