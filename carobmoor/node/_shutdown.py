"""Draining a node, undoing a drain, and stopping without aborting requests."""

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any, Final

from carobmoor.admission import StopTimes, stop_times
from carobmoor.history import EventKind
from carobmoor.membership import MemberStatus, set_own_status
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Code, NotRun
from carobmoor.telemetry import logger_for

_DEFAULT_LINGER_MS: Final = 2000
_DEFAULT_MAX_LEAVE_MS: Final = 600_000
_MS_PER_S: Final = 1000
# How long queued requests may still start after a drain. Later they are
# refused, so that nothing starts on the backend server 2 s after the drain.
_QUEUE_GRACE_S: Final = 1
# Reserved from the time to leave, for the answers of the last requests.
_ANSWER_MARGIN_S: Final = 0.4
# How long the listener stays open after idle connections were closed, so
# that a caller that lost a request there can ask for its outcome.
_LISTENER_GRACE_S: Final = 0.3
# How long to wait for the first request of an open connection once the
# listener is closed. Callers send it at once, but packets may be lost.
_FIRST_REQUEST_TIMEOUT_S: Final = 0.5
_FIRST_REQUEST_POLL_S: Final = 0.02
_UNSENT_POLL_S: Final = 0.05
_log = logger_for('leaving')


class NodeShutdown:
    """Drain and stop state of a node, with its requests in progress."""

    def __init__(self, node: NodeState) -> None:
        """Start with the node accepting requests."""
        self.stop_requested = asyncio.Event()
        self.node = node
        self.drained_at_s = float(0)
        # Whether it is too late to undo a drain.
        self.is_final = False
        self.shutdown_task: asyncio.Task[None] | None = None
        self.in_progress: set[PendingRequest] = set()
        # Set while no request is in progress.
        self.idle = asyncio.Event()
        self.idle.set()
        # Limits of a stop in progress, for requests that arrive during it.
        self.stop_times = StopTimes()
        self._queue_refusal_timer: asyncio.TimerHandle | None = None
        node.on_server_leaving = self.drain

    @contextlib.contextmanager
    def track_request(self, pending: PendingRequest) -> Iterator[None]:
        """Keep the node from stopping while a request is served."""
        self.in_progress.add(pending)
        self.idle.clear()
        try:
            yield
        finally:
            self.in_progress.discard(pending)
            if not self.in_progress:
                self.idle.set()

    def drain(self) -> None:
        """Refuse new requests from now on and notify the other nodes."""
        node = self.node
        if node.gate.is_leaving:
            return
        node.gate.is_leaving = True
        node.record_event(EventKind.LEAVING, subject=str(node.backend_server))
        self.drained_at_s = time.monotonic()
        self._declare_status(MemberStatus.LEAVING)
        loop = asyncio.get_running_loop()
        self._queue_refusal_timer = loop.call_later(
            _QUEUE_GRACE_S,
            node.gate.refuse_waiting,
        )
        _log.info('Node is draining.', in_flight=len(self.in_progress))

    def refusal_of(self, pending: PendingRequest) -> NotRun | None:
        """Return why a request is not served; `None` if it may be.

        One that could not end before the process does would be cut. Copies of
        requests that this node decides on are answered until the end.
        """
        ticket = pending.context.ticket
        if ticket is not None and ticket.owner == self.node.address:
            return None
        if self.stop_times.may_accept(pending.deadline_s, time.monotonic()):
            return None
        return NotRun(Code.LEAVING, 'stop', self.node.address)

    def request_stop(self) -> None:
        """Leave and end the process after a signal; this can't be undone."""
        self.is_final = True
        self.stop_requested.set()

    def undo_drain(self) -> bool:
        """Accept requests again; return `False` when it is too late."""
        if self.is_final:
            return False
        self.stop_requested.clear()
        self.stop_times = StopTimes()
        if self.shutdown_task is not None:
            self.shutdown_task.cancel()
        if self.node.gate.is_leaving:
            self._accept_requests_again()
        return True

    def _accept_requests_again(self) -> None:
        if self._queue_refusal_timer is not None:
            self._queue_refusal_timer.cancel()
        self.node.gate.is_leaving = False
        self._declare_status(MemberStatus.ALIVE)
        _log.info('Drain undone; node accepts requests again.')

    def _declare_status(self, status: MemberStatus) -> None:
        set_own_status(self.node.gossip.state, status, time.monotonic())


async def leave_when_requested(shutdown: NodeShutdown, server: Any) -> None:
    """Wait until a stop is requested, then leave without aborting a request.

    Requests that still run after `leave_most_ms` are aborted, logged and
    counted.
    """
    has_left = False
    while not has_left:
        await shutdown.stop_requested.wait()
        shutdown.drain()
        has_left = await _leave_unless_undone(shutdown, server)


async def _leave_unless_undone(shutdown: NodeShutdown, server: Any) -> bool:
    settings = shutdown.node.settings
    max_leave_s = (
        settings.get('leave_most_ms', _DEFAULT_MAX_LEAVE_MS) / _MS_PER_S
    )
    shutdown.stop_times = stop_times(
        time.monotonic(), max(0, max_leave_s - _ANSWER_MARGIN_S)
    )
    shutdown_task = asyncio.create_task(_shut_down(shutdown, server))
    shutdown.shutdown_task = shutdown_task
    try:
        await asyncio.wait((shutdown_task,), timeout=max_leave_s)
    finally:
        shutdown.shutdown_task = None
    if shutdown_task.cancelled():
        return False
    shutdown.node.gossip.announce_stop()
    if shutdown_task.done():
        return True
    shutdown_task.cancel()
    _report_aborted_requests(shutdown)
    _report_cut_answers(server)
    server.force_exit = True
    return True


async def _shut_down(shutdown: NodeShutdown, server: Any) -> None:
    node = shutdown.node
    linger_ms = node.settings.get('leave_linger_ms', _DEFAULT_LINGER_MS)
    until_s = shutdown.drained_at_s + linger_ms / _MS_PER_S
    await asyncio.sleep(max(0, until_s - time.monotonic()))
    await node.gate.wait_idle()
    shutdown.is_final = True
    _close_idle_connections(server, keep_unused=True)
    await asyncio.sleep(_LISTENER_GRACE_S)
    for listener in server.servers:
        listener.close()
    await _wait_for_first_requests(server)
    _close_idle_connections(server, keep_unused=False)
    await shutdown.idle.wait()
    await _wait_until_sent(server)


def _close_idle_connections(server: Any, *, keep_unused: bool) -> None:
    for connection in tuple(server.server_state.connections):
        if not (keep_unused and connection.is_unused):
            connection.close_idle()


async def _wait_for_first_requests(server: Any) -> None:
    """Wait, up to a limit, until each connection has begun a request."""
    until_s = time.monotonic() + _FIRST_REQUEST_TIMEOUT_S
    while True:
        if not _has_unused_connections(server) or time.monotonic() > until_s:
            break
        await asyncio.sleep(_FIRST_REQUEST_POLL_S)


async def _wait_until_sent(server: Any) -> None:
    """Wait until the kernel has taken all answers.

    A slow caller reads the end of its answer long after its request has ended.
    """
    while True:
        if not _has_unsent_answers(server):
            return
        await asyncio.sleep(_UNSENT_POLL_S)


def _has_unsent_answers(server: Any) -> bool:
    connections = server.server_state.connections
    return any(connection.unsent_bytes for connection in connections)


def _has_unused_connections(server: Any) -> bool:
    connections = server.server_state.connections
    return any(connection.is_unused for connection in connections)


def _report_aborted_requests(shutdown: NodeShutdown) -> None:
    for pending in shutdown.in_progress:
        shutdown.node.metrics.aborted_requests.inc()
        _log.error(
            'Request cut.',
            request_id=pending.context.request_id,
            service=pending.context.service,
            code=Code.OUTCOME_UNKNOWN.value,
        )


def _report_cut_answers(server: Any) -> None:
    for connection in tuple(server.server_state.connections):
        if connection.unsent_bytes:
            _log.error(
                'Answer cut by the end of the process.',
                peer=connection.peer,
                unsent_bytes=connection.unsent_bytes,
            )
