"""One call to the node's own backend server."""

import time
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh._hop import HOP_HEADER
from carobmoor.mesh._owner_request import OwnerRequest, failure_from_call
from carobmoor.mesh._server_reports import AskedServer, record_report
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.transport import (
    Answer,
    CallFailure,
    OutgoingRequest,
    end_to_end_headers,
    get_header,
    send,
)

_MS_PER_S: Final = 1000
_MISDIRECTED: Final = 421
# Statuses that suggest that the request did not run. Without the header for
# "not run" only 421 proves it.
_UNPROVEN_STATUSES: Final = frozenset((408, 421, 429, 503))
_FIRST_FAILED_STATUS: Final = 400


async def send_to_backend(
    node: MeshNode,
    owner_request: OwnerRequest,
    remaining_s: float,
) -> Result[Answer, CallFailure]:
    """Send a request with its remaining time and the expected instance."""
    names = node.names
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    managed = (
        (names.deadline_ms, b'%d' % remaining_ms),
        (names.expected_instance, node.backend.instance_id.encode()),
    )
    replaced = {HOP_HEADER, names.deadline_ms, names.expected_instance}
    kept = [
        header
        for header in end_to_end_headers(owner_request.headers)
        if header[0] not in replaced
    ]
    request = OutgoingRequest(
        owner_request.method,
        owner_request.target,
        (*kept, *managed),
        owner_request.body.buffered,
        owner_request.body.stream,
        echoed_header=(names.request_id, owner_request.request_id),
    )
    return await send(
        node.backend_pool,
        node.settings.backend_server,
        request,
        remaining_s,
    )


def check_answer(
    node: MeshNode,
    sent: Result[Answer, CallFailure],
    asked: AskedServer,
    deadline_s: float,
) -> Result[Answer, Failure]:
    """Return the answer if it may be passed on, otherwise a failure.

    Records what the backend server reports, and its success rate.
    """
    now_s = time.monotonic()
    if isinstance(sent, Err):
        if now_s < deadline_s:
            node.backend.success.record_outcome(False, now_s)
        return Err(failure_from_call(sent.err_value))
    answer = sent.ok_value
    record_report(node.report_targets, answer.head.headers, asked, now_s)
    failure = _failure_of_answer(node, answer)
    if failure is None:
        return Ok(answer)
    answer.abandon('answer not passed on')
    node.backend.success.record_outcome(False, now_s)
    return Err(failure)


def _failure_of_answer(node: MeshNode, answer: Answer) -> Failure | None:
    """Return why an answer is not passed on; `None` if it is.

    A success without the signature is not trusted, and a status such as 503
    alone does not prove that the request did not run. A refusal that may be
    that of an earlier request on the connection proves nothing either.
    """
    headers = answer.head.headers
    status = answer.head.status
    peer = str(answer.address)
    if get_header(headers, node.names.not_run) or status == _MISDIRECTED:
        detail = f'status {status}'
        if answer.is_attributed:
            return NotRun(Code.NOT_SENT, 'answer', peer, detail)
        return Unknown('answer', peer, f'{detail}, without its request id')
    is_signed = bool(get_header(headers, node.names.signature))
    is_success = status < _FIRST_FAILED_STATUS
    if status in _UNPROVEN_STATUSES or (is_success and not is_signed):
        return Unknown(
            'answer',
            peer,
            f'status {status} does not prove whether the request ran',
        )
    return None
