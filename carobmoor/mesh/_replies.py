"""Answers that the node makes itself."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Final

from carobmoor.mesh._ended import note_end
from carobmoor.mesh._pursuit import Pursuit
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Failure, NotRun
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest, header_of

_MS_PER_S: Final = 1000
# Time after which a refused caller may retry.
_RETRY_AFTER_S: Final = 0.05
_STARTING_RETRY_AFTER_S: Final = 0.2
_log = logger_for('forward')


def give_up(node: MeshNode, pursuit: Pursuit, failure: Failure) -> None:
    """Answer a failed request; the status says whether it may have run."""
    request = pursuit.request
    if request.has_ended:
        return
    status = _status_of(pursuit, failure)
    _log.info(
        'Request failed.',
        request_id=request_id_of(node, request),
        route=pursuit.route.name,
        service=pursuit.service,
        version=node.version,
        status=int(status),
        step=failure.step,
        peer=failure.peer,
        code=failure.code.value,
        detail=failure.detail,
        tried=[str(address) for address in pursuit.tried],
        left_ms=int(pursuit.left_s * _MS_PER_S),
    )
    note_end(node, pursuit, int(status))
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        refuse(node, request, _RETRY_AFTER_S)
    else:
        respond(node, request, status)


def refuse(
    node: MeshNode,
    request: IncomingRequest,
    retry_after_s: float = _STARTING_RETRY_AFTER_S,
) -> None:
    """Answer that the request did not run, and when to retry it."""
    after = (b'retry-after', b'%.2f' % retry_after_s)
    respond(node, request, HTTPStatus.SERVICE_UNAVAILABLE, (after,))


def respond(
    node: MeshNode,
    request: IncomingRequest,
    status: HTTPStatus,
    extra: Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Answer with a status and the request id, without a body."""
    request_id = request_id_of(node, request).encode('latin-1')
    named = (node.names.request_id, request_id)
    request.respond(status, (named, *extra))


def request_id_of(node: MeshNode, request: IncomingRequest) -> str:
    """Return the caller's request id; empty if it sent none."""
    return header_of(request.headers, node.names.request_id)


def _status_of(pursuit: Pursuit, failure: Failure) -> HTTPStatus:
    if isinstance(failure, NotRun) and not pursuit.may_have_run:
        return HTTPStatus.SERVICE_UNAVAILABLE
    if pursuit.left_s <= 0:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
