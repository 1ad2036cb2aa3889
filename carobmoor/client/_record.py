"""Records calls and their outcomes in a history for a checker."""

import xxhash
from result import Err, Result

from carobmoor.client._messages import Call, CallAnswer
from carobmoor.history import EventKind, EventRecorder
from carobmoor.outcomes import Failure, NotRun


def record_call_sent(record: EventRecorder, call: Call) -> None:
    """Record that a call is sent, with the digest of an unstreamed body."""
    record(
        EventKind.SENT,
        request_id=call.request_id,
        repeatable=call.repeatable,
        asked='' if call.more_body else body_digest(call.body),
        subject=call.service,
    )


def record_outcome(
    record: EventRecorder,
    call: Call,
    call_result: Result[CallAnswer, Failure],
) -> None:
    """Record the outcome of a call."""
    if isinstance(call_result, Err):
        failure = call_result.err_value
        record(
            EventKind.REFUSED
            if isinstance(failure, NotRun)
            else EventKind.UNKNOWN,
            request_id=call.request_id,
            subject=failure.peer,
            detail=f'{failure.code} {failure.step} {failure.detail}',
        )
        return
    record(
        EventKind.ANSWERED,
        request_id=call.request_id,
        digest=body_digest(call_result.ok_value.body),
        subject=call_result.ok_value.owner,
    )


def body_digest(body: bytes) -> str:
    """Return the digest by which histories identify a body."""
    return xxhash.xxh64_hexdigest(body)
