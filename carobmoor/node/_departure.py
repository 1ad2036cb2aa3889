"""Draining a node, undoing a drain, and stopping without cut requests."""

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any, Final

from carobmoor.history import Kind
from carobmoor.membership import Standing, declare_self
from carobmoor.node._exchange import Exchange
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Code
from carobmoor.telemetry import logger_for

_DEFAULT_LINGER_MS: Final = 2000
_DEFAULT_MOST_MS: Final = 600_000
_MS_PER_S: Final = 1000
# How long queued requests may still start after a drain. Later they are
# refused, so that nothing starts on the backend server 2 s after the drain.
_QUEUE_GRACE_S: Final = 1
# How long the listener stays open after idle connections were closed, so
# that a caller that lost a request there can ask for its outcome.
_ASK_GRACE_S: Final = 0.3
# How long to wait for the first request of an open connection once the
# listener is closed. Callers send it at once, but packets may be lost.
_UNUSED_S: Final = 0.5
_UNUSED_POLL_S: Final = 0.02
_log = logger_for('leaving')


class Departure:
    """Drain and stop state of a node, with its requests in progress."""

    def __init__(self, node: NodeState) -> None:
        """Start with the node accepting requests."""
        self.stop = asyncio.Event()
        self.node = node
        self.drained_at_s = float(0)
        # Whether it is too late to undo a drain.
        self.is_final = False
        self.finishing: asyncio.Task[None] | None = None
        self.in_progress: set[Exchange] = set()
        # Set while no request is in progress.
        self.idle = asyncio.Event()
        self.idle.set()
        self._queue_refusal: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def tracked(self, exchange: Exchange) -> Iterator[None]:
        """Keep the node from stopping while a request is served."""
        self.in_progress.add(exchange)
        self.idle.clear()
        try:
            yield
        finally:
            self.in_progress.discard(exchange)
            if not self.in_progress:
                self.idle.set()

    def drain(self) -> None:
        """Refuse new requests from now on and notify the other nodes."""
        node = self.node
        if node.gate.is_leaving:
            return
        node.gate.is_leaving = True
        node.record(Kind.LEAVING, subject=str(node.backend_server))
        self.drained_at_s = time.monotonic()
        self._tell(Standing.LEAVING)
        loop = asyncio.get_running_loop()
        self._queue_refusal = loop.call_later(
            _QUEUE_GRACE_S,
            node.gate.refuse_waiting,
        )
        _log.info('Node is draining.', in_flight=len(self.in_progress))

    def order_stop(self) -> None:
        """Stop the process after a drain; on a signal this can't be undone."""
        self.is_final = True
        self.stop.set()

    def undo_drain(self) -> bool:
        """Accept requests again; return `False` when it is too late."""
        if self.is_final:
            return False
        self.stop.clear()
        if self.finishing is not None:
            self.finishing.cancel()
        if self.node.gate.is_leaving:
            self._take_work_again()
        return True

    def _take_work_again(self) -> None:
        if self._queue_refusal is not None:
            self._queue_refusal.cancel()
        self.node.gate.is_leaving = False
        self._tell(Standing.ALIVE)
        _log.info('Drain undone; node accepts requests again.')

    def _tell(self, standing: Standing) -> None:
        declare_self(self.node.gossip.state, standing, time.monotonic())


async def leave(departure: Departure, server: Any) -> None:
    """Wait until a stop is requested, then leave without cutting a request.

    Requests that still run after `leave_most_ms` are cut, logged and counted.
    """
    has_left = False
    while not has_left:
        await departure.stop.wait()
        departure.drain()
        has_left = await _leave_unless_undone(departure, server)


async def _leave_unless_undone(departure: Departure, server: Any) -> bool:
    settings = departure.node.settings
    most_s = settings.get('leave_most_ms', _DEFAULT_MOST_MS) / _MS_PER_S
    finishing = asyncio.create_task(_finish(departure, server))
    departure.finishing = finishing
    try:
        await asyncio.wait((finishing,), timeout=most_s)
    finally:
        departure.finishing = None
    if finishing.cancelled():
        return False
    departure.node.gossip.say_farewell()
    if finishing.done():
        return True
    finishing.cancel()
    _note_cut(departure)
    server.force_exit = True
    return True


async def _finish(departure: Departure, server: Any) -> None:
    node = departure.node
    linger_ms = node.settings.get('leave_linger_ms', _DEFAULT_LINGER_MS)
    until_s = departure.drained_at_s + linger_ms / _MS_PER_S
    await asyncio.sleep(max(0, until_s - time.monotonic()))
    await node.gate.wait_idle()
    departure.is_final = True
    _close_idle(server, spares_unused=True)
    await asyncio.sleep(_ASK_GRACE_S)
    for listener in server.servers:
        listener.close()
    await _wait_for_unused(server)
    _close_idle(server, spares_unused=False)
    await departure.idle.wait()


def _close_idle(server: Any, *, spares_unused: bool) -> None:
    for connection in tuple(server.server_state.connections):
        if not (spares_unused and connection.is_unused):
            connection.close_idle()


async def _wait_for_unused(server: Any) -> None:
    """Wait, up to a limit, until each connection has begun a request."""
    until_s = time.monotonic() + _UNUSED_S
    while True:
        if not _has_unused(server) or time.monotonic() > until_s:
            break
        await asyncio.sleep(_UNUSED_POLL_S)


def _has_unused(server: Any) -> bool:
    connections = server.server_state.connections
    return any(connection.is_unused for connection in connections)


def _note_cut(departure: Departure) -> None:
    for exchange in departure.in_progress:
        departure.node.metrics.cut.inc()
        _log.error(
            'Request cut.',
            request_id=exchange.context.request_id,
            service=exchange.context.service,
            code=Code.OUTCOME_UNKNOWN.value,
        )
