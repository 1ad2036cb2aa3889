"""Sends calls to a given node, like a caller with stale routes."""

from result import Err, Ok, Result

from carobmoor import Call, CallAnswer, Failure
from carobmoor.client import (
    DEADLINE_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
    failure_of,
)
from carobmoor.outcomes import OUTCOME_HEADER, decode_failure
from carobmoor.transport import (
    ConnectionPool,
    OutgoingRequest,
    get_header,
    parse_address,
    request_json,
)

_MS_PER_S = 1000


async def call_directly(
    pool: ConnectionPool,
    call: Call,
    owner: str,
) -> Result[CallAnswer, Failure]:
    """Send a call to the node that has to run it, bypassing routing."""
    headers = (
        (REQUEST_ID_HEADER, call.request_id.encode()),
        (SERVICE_HEADER, call.service.encode()),
        (RANK_HEADER, call.rank.encode()),
        (OWNER_HEADER, owner.encode()),
        (DEADLINE_HEADER, b'%d' % call.timeout_ms),
        *call.headers,
    )
    request = OutgoingRequest(call.method, call.target, headers, call.body)
    timeout_s = call.timeout_ms / _MS_PER_S
    received = await request_json(
        pool, parse_address(owner), request, timeout_s
    )
    if isinstance(received, Err):
        return Err(failure_of(received.err_value))
    answer = received.ok_value
    if get_header(answer.head.headers, OUTCOME_HEADER.encode()):
        return Err(decode_failure(answer.body, call.request_id, owner))
    status, answer_headers = answer.head
    return Ok(
        CallAnswer(status, answer_headers, answer.body, owner, call.request_id)
    )
