"""Logs and metrics of completed requests."""

import time
from typing import Final

from carobmoor.clock import boot_time_s
from carobmoor.freshness import age_s
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest, get_header

_MS_PER_S: Final = 1000
_FIRST_SERVER_ERROR: Final = 500
_OK: Final = 200
_log = logger_for('forward')


def record_end(node: MeshNode, pending: PendingRequest, status: int) -> None:
    """Log and count a request that was answered.

    The log line has the inputs of the last choice of an owner: its slowdown,
    its load, and the age of that report.
    """
    request = pending.request
    request_id = get_header(request.headers, node.names.request_id)
    duration_s = time.monotonic() - pending.started_s
    route = pending.route.name
    failed_id = request_id if status >= _FIRST_SERVER_ERROR else ''
    node.metrics.count_request(
        pending.service,
        route,
        str(status),
        duration_s,
        failed_id,
    )
    _log.info(
        'Request ended.',
        request_id=request_id,
        peer=request.peer,
        status=status,
        took_ms=int(duration_s * _MS_PER_S),
        route=route,
        service=pending.service,
        version=pending.version,
        tried=[str(address) for address in pending.tried],
        sends=pending.sends,
        chosen=pending.chosen,
    )


async def serve_metrics(node: MeshNode, request: IncomingRequest) -> None:
    """Serve all metrics, with gauges updated to their current values."""
    metrics = node.metrics
    state = node.gate.state
    metrics.in_flight.set(state.in_flight_total)
    metrics.queued.set(state.queued_total)
    metrics.concurrency_limit.set(state.concurrency_limit.limit)
    metrics.rate_limit.set(state.rate_limit.per_s)
    metrics.cluster.cold_starts_limited.set(
        state.cold_starts.is_limited(time.monotonic())
    )
    metrics.configuration_version.set(node.version)
    metrics.cluster.evacuated_zones.set(len(node.peers.evacuation.zones))
    freshness = node.store_availability.freshness
    metrics.cluster.proof_age.set(age_s(freshness, node.version, boot_time_s()))
    metrics.marked_requests.set(len(node.quarantine.state.marks))
    kind = (b'content-type', b'text/plain; version=0.0.4')
    request.respond(_OK, (kind,), metrics.render())
