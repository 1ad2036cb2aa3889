"""Stops a mesh node without cutting off a request."""

import asyncio
import time
from collections.abc import Sequence
from typing import Final

from carobmoor.admission import stop_times
from carobmoor.mesh._parts import MeshParts
from carobmoor.telemetry import logger_for
from carobmoor.transport import Listener, get_header

_MS_PER_S: Final = 1000
_POLL_INTERVAL_S: Final = 0.05
# No request for this long shows that callers know that this node stops.
_MIN_IDLE_S: Final = 2.5
# Reserved from the time to stop, to end the requests still running.
_STOP_MARGIN_S: Final = 0.4
_REMOVE_ROW_TIMEOUT_S: Final = 0.3
_log = logger_for('node')


async def leave_mesh_node(parts: MeshParts) -> None:
    """Stop without cutting off a request: callers first, then the rest.

    Requests are accepted while they can end before the row is deleted.
    """
    node = parts.node
    stop_s = node.settings.bounds.stop_ms / _MS_PER_S - _STOP_MARGIN_S
    node.is_leaving = True
    node.stop_times = stop_times(
        time.monotonic(), stop_s - _REMOVE_ROW_TIMEOUT_S
    )
    _log.info('Node stops.', in_hand=node.callers.unfinished)
    parts.gossip.notify_change()
    node.gate.refuse_waiting()
    requests_end_s = node.stop_times.requests_end_s
    await _wait_idle(parts, requests_end_s, _MIN_IDLE_S)
    if node.backend.last_announcement is None or not node.backend.is_ready:
        await _remove_row(parts)
    parts.callers.close()
    parts.nodes.close()
    # Requests may have been accepted since the last look.
    await _wait_idle(parts, requests_end_s + _REMOVE_ROW_TIMEOUT_S, 0)
    _log_cut_answers(parts)


async def _wait_idle(
    parts: MeshParts, until_s: float, min_idle_s: float
) -> None:
    """Wait until no request has run for a time, but no longer than `until_s`.

    A request counts from its arrival, so that a quiet moment shows that no
    more are coming, and until the kernel has taken all of its answer: a slow
    reader takes the last part long after its handler has returned.
    """
    callers = parts.node.callers
    started_s = time.monotonic()
    while True:
        await asyncio.sleep(_POLL_INTERVAL_S)
        now_s = time.monotonic()
        idle_s = now_s - max(callers.last_arrival_s, started_s)
        if now_s >= until_s or (not _is_busy(parts) and idle_s > min_idle_s):
            return


def _is_busy(parts: MeshParts) -> bool:
    node = parts.node
    if node.callers.unfinished or node.gate.state.in_flight_total:
        return True
    return any(listener.unfinished for listener in _promised(parts))


def _promised(parts: MeshParts) -> Sequence[Listener]:
    """Return the listeners whose answers a stop must not cut."""
    return (parts.callers, parts.nodes, parts.announcements)


async def _remove_row(parts: MeshParts) -> None:
    """Delete the own row, since the backend server won't come back."""
    try:
        async with asyncio.timeout(_REMOVE_ROW_TIMEOUT_S):
            await parts.own_row.remove()
    except TimeoutError:
        _log.warning('Deleting the own row timed out; it may stay.')


def _log_cut_answers(parts: MeshParts) -> None:
    """Log what the end of the process cuts off.

    An answer that was written but not yet sent has a `Request ended.` line
    that names the same peer.
    """
    id_name = parts.node.names.request_id
    for listener in _promised(parts):
        for connection in listener.unfinished:
            _log.warning(
                'Answer cut by the end of the process.',
                peer=connection.peer,
                unsent_bytes=connection.unsent_bytes,
                unanswered=[
                    get_header(request.headers, id_name)
                    for request in connection.unanswered
                ],
            )
