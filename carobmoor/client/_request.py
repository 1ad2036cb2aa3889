"""Builds the HTTP request of a call and classifies its answer."""

from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.client._headers import (
    ATTEMPT_HEADER,
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_LEFT_HEADER,
    SERVICE_HEADER,
)
from carobmoor.client._messages import Call
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    Failure,
    NotRun,
    Unknown,
    decode_failure,
)
from carobmoor.tickets import (
    REPEATABLE_HEADER,
    TICKET_HEADER,
    encode_ticket,
)
from carobmoor.transport import (
    Address,
    Answer,
    AnswerIncomplete,
    CallFailure,
    OutgoingRequest,
    get_header,
    proves_not_run,
    read_whole,
)

SendResult = Result[Answer, Failure]

_MAX_REFUSAL_BYTES: Final = 65536
_MS_PER_S: Final = 1000
# Assumed size of a body without a declared length, for paid links.
_ASSUMED_BODY_BYTES: Final = 1_048_576
_CONTENT_LENGTH: Final = b'content-length'


def build_request(
    call: Call, owner: Address, remaining_s: float
) -> OutgoingRequest:
    """Build the request that sends a call to an owner."""
    return OutgoingRequest(
        call.method,
        call.target,
        _build_headers(call, owner, remaining_s),
        call.body,
        call.more_body,
    )


def failure_of(failure: CallFailure) -> Failure:
    """Convert a transport failure to the outcome of the request."""
    step = failure.step.value
    if proves_not_run(failure):
        return NotRun(Code.NOT_SENT, step, failure.peer, failure.reason)
    return Unknown(step, failure.peer, failure.reason)


async def classify_answer(call: Call, answer: Answer) -> SendResult:
    """Return the backend server's answer, or the failure sent instead of it.

    An answer or failure without the request id of this call proves nothing
    about it, so its outcome is unknown. One failure needs no id: "leaving",
    which a node sends on an idle connection before it closes that.
    """
    headers = answer.head.headers
    if not get_header(headers, OUTCOME_HEADER.encode()):
        return _check_request_id(call, answer)
    peer = str(answer.address)
    try:
        body = await read_whole(answer, _MAX_REFUSAL_BYTES)
    except AnswerIncomplete as error:
        return Err(failure_of(error.failure))
    return Err(decode_failure(body, call.request_id, peer))


def request_body_bytes(call: Call) -> int:
    """Return the body size, or an assumed size if it is not declared."""
    if call.more_body is None:
        return len(call.body)
    declared = get_header(call.headers, _CONTENT_LENGTH)
    return int(declared) if declared.isdigit() else _ASSUMED_BODY_BYTES


def declared_answer_bytes(answer: Answer) -> int:
    """Return the declared body size of an answer, or 0 without one."""
    declared = get_header(answer.head.headers, _CONTENT_LENGTH)
    return int(declared) if declared.isdigit() else 0


def _check_request_id(call: Call, answer: Answer) -> SendResult:
    answer_request_id = get_header(answer.head.headers, REQUEST_ID_HEADER)
    if answer_request_id == call.request_id:
        return Ok(answer)
    answer.abandon('the answer lacks the id of this request')
    peer = str(answer.address)
    return Err(
        Unknown(
            'awaiting_answer', peer, 'the answer lacks the id of this request'
        )
    )


def _build_headers(
    call: Call,
    owner: Address,
    remaining_s: float,
) -> Sequence[tuple[bytes, bytes]]:
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    headers = [
        (b'host', str(owner).encode()),
        (REQUEST_ID_HEADER, call.request_id.encode()),
        (SERVICE_HEADER, call.service.encode()),
        (OWNER_HEADER, str(owner).encode()),
        (DEADLINE_HEADER, b'%d' % remaining_ms),
        (ATTEMPT_HEADER, b'%d' % call.attempt),
        (RETRIES_LEFT_HEADER, b'%d' % (call.retries_left or 0)),
    ]
    if call.rank:
        headers.append((RANK_HEADER, call.rank.encode()))
    if call.caller:
        headers.append((CALLER_HEADER, call.caller.encode()))
    if call.depth:
        headers.append((DEPTH_HEADER, b'%d' % call.depth))
    if call.ticket is not None:
        headers.append((TICKET_HEADER, encode_ticket(call.ticket)))
    elif call.repeatable:
        headers.append((REPEATABLE_HEADER, b'true'))
    return (*headers, *call.headers)
