"""Records calls and their outcomes in a history for a checker."""

import xxhash
from result import Err, Result

from carobmoor.client._messages import Call, CallAnswer
from carobmoor.history import Kind, Record
from carobmoor.outcomes import Failure, NotRun


def record_sent(record: Record, call: Call) -> None:
    """Record that a call is sent, with the digest of an unstreamed body."""
    record(
        Kind.SENT,
        request_id=call.request_id,
        repeatable=call.repeatable,
        asked='' if call.more_body else digest_of(call.body),
        subject=call.service,
    )


def record_outcome(
    record: Record,
    call: Call,
    called: Result[CallAnswer, Failure],
) -> None:
    """Record the outcome of a call."""
    if isinstance(called, Err):
        failure = called.err_value
        record(
            Kind.REFUSED if isinstance(failure, NotRun) else Kind.UNKNOWN,
            request_id=call.request_id,
            subject=failure.peer,
            detail=f'{failure.code} {failure.step} {failure.detail}',
        )
        return
    record(
        Kind.ANSWERED,
        request_id=call.request_id,
        digest=digest_of(called.ok_value.body),
        subject=called.ok_value.owner,
    )


def digest_of(body: bytes) -> str:
    """Return the digest by which histories identify a body."""
    return xxhash.xxh64_hexdigest(body)
