"""Logs and metrics of completed requests."""

import time
from typing import Final

from carobmoor.mesh._pursuit import Pursuit
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest, header_of

_MS_PER_S: Final = 1000
_FIRST_SERVER_ERROR: Final = 500
_OK: Final = 200
_log = logger_for('forward')


def note_end(node: MeshNode, pursuit: Pursuit, status: int) -> None:
    """Log and count a request that was answered.

    The log line has the inputs of the last choice of an owner: its slowdown,
    its load, and the age of that report.
    """
    request = pursuit.request
    request_id = header_of(request.headers, node.names.request_id)
    took_s = time.monotonic() - pursuit.started_s
    route = pursuit.route.name
    failed_id = request_id if status >= _FIRST_SERVER_ERROR else ''
    node.metrics.count_request(
        pursuit.service,
        route,
        str(status),
        took_s,
        failed_id,
    )
    _log.info(
        'Request ended.',
        request_id=request_id,
        status=status,
        took_ms=int(took_s * _MS_PER_S),
        route=route,
        service=pursuit.service,
        version=pursuit.version,
        tried=[str(address) for address in pursuit.tried],
        sends=pursuit.sends,
        chosen=pursuit.chosen,
    )


async def serve_metrics(node: MeshNode, request: IncomingRequest) -> None:
    """Serve all metrics, with gauges updated to their current values."""
    metrics = node.metrics
    state = node.gate.state
    metrics.in_flight.set(state.in_flight_total)
    metrics.queued.set(state.queued_total)
    metrics.concurrency_limit.set(state.limit.limit)
    metrics.configuration_version.set(node.version)
    metrics.marked_requests.set(len(node.quarantine.state.marks))
    kind = (b'content-type', b'text/plain; version=0.0.4')
    request.respond(_OK, (kind,), metrics.render())
