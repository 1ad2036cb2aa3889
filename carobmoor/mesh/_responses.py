"""Answers that the node makes itself."""

import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Final

from carobmoor.mesh._candidates import candidates_for
from carobmoor.mesh._choose import start_wait_ms
from carobmoor.mesh._fresh_loads import update_own_load
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._request_log import record_end
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest, get_header

_MS_PER_S: Final = 1000
# Time after which a refused caller may retry, as a share of the typical time
# of its route: a slot is likely to be free by then. The random part keeps
# callers that were refused together from returning together.
_RETRY_AFTER_SHARE: Final = 0.3
_MIN_RETRY_AFTER_S: Final = 0.05
_RETRY_AFTER_SPREAD: Final = 0.5
_STARTING_RETRY_AFTER_S: Final = 0.2
_log = logger_for('forward')


def respond_failure(
    node: MeshNode, pending: PendingRequest, failure: Failure
) -> None:
    """Answer a failed request; the status says whether it may have run."""
    request = pending.request
    if request.has_ended:
        return
    if request.has_started:
        # A second head would be read as a part of the body.
        record_end(node, pending, int(HTTPStatus.GATEWAY_TIMEOUT))
        request.abort()
        return
    status = _status_of(pending, failure)
    _log.info(
        'Request failed.',
        request_id=request_id_of(node, request),
        route=pending.route.name,
        service=pending.service,
        version=node.version,
        status=int(status),
        step=failure.step,
        peer=failure.peer,
        code=failure.code.value,
        detail=failure.detail,
        tried=[str(address) for address in pending.tried],
        left_ms=int(pending.remaining_s * _MS_PER_S),
    )
    record_end(node, pending, int(status))
    if status is HTTPStatus.TOO_MANY_REQUESTS:
        retry_after = _retry_after_header(pending.allotment_wait_s)
        respond(node, request, status, (retry_after,))
    elif status is HTTPStatus.SERVICE_UNAVAILABLE:
        respond_unavailable(node, request, _retry_after_s(node, pending))
    else:
        respond(node, request, status)


def _retry_after_s(node: MeshNode, pending: PendingRequest) -> float:
    """Return when a caller may come back.

    That is when a slot is likely to be free, and not before the rate limit of
    some server of the service allows a start.
    """
    typical_ms = node.times.response_times.typical_ms(pending.route.name)
    after_s = _RETRY_AFTER_SHARE * typical_ms / _MS_PER_S
    spread = 1 + _RETRY_AFTER_SPREAD * (2 * node.rng.random() - 1)
    slot_s = max(_MIN_RETRY_AFTER_S, after_s) * spread
    update_own_load(node)
    now_s = time.monotonic()
    start_s = min(
        (
            start_wait_ms(peer, now_s) / _MS_PER_S
            for peer in candidates_for(node, pending)
        ),
        default=0,
    )
    return max(slot_s, start_s * (1 + _RETRY_AFTER_SPREAD * node.rng.random()))


def respond_unavailable(
    node: MeshNode,
    request: IncomingRequest,
    retry_after_s: float = _STARTING_RETRY_AFTER_S,
) -> None:
    """Answer that the request did not run, and when to retry it."""
    retry_after = _retry_after_header(retry_after_s)
    respond(node, request, HTTPStatus.SERVICE_UNAVAILABLE, (retry_after,))


def _retry_after_header(retry_after_s: float) -> tuple[bytes, bytes]:
    return (b'retry-after', b'%.2f' % retry_after_s)


def respond(
    node: MeshNode,
    request: IncomingRequest,
    status: HTTPStatus,
    extra: Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Answer with a status and the request id, without a body."""
    request_id = request_id_of(node, request).encode('latin-1')
    id_header = (node.names.request_id, request_id)
    request.respond(status, (id_header, *extra))


def request_id_of(node: MeshNode, request: IncomingRequest) -> str:
    """Return the caller's request id; empty if it sent none."""
    return get_header(request.headers, node.names.request_id)


def _status_of(pending: PendingRequest, failure: Failure) -> HTTPStatus:
    if isinstance(failure, NotRun) and not pending.may_have_run:
        if failure.code is Code.OVER_ALLOTMENT:
            return HTTPStatus.TOO_MANY_REQUESTS
        return HTTPStatus.SERVICE_UNAVAILABLE
    if pending.remaining_s <= 0:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
