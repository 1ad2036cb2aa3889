"""The JSON form of a failure, as sent in the body of a refusal."""

from typing import Final, TypedDict

import msgspec

from carobmoor.outcomes._failures import Code, Failure, NotRun, Unknown

OUTCOME_HEADER: Final = 'x-carobmoor-outcome'


class FailureDocument(TypedDict):
    """The body of a refusal, as a caller reads it."""

    outcome: str
    code: str
    step: str
    peer: str
    detail: str
    request_id: str


_CODES: Final = frozenset(Code)
_decoder: Final = msgspec.json.Decoder(FailureDocument)


def encode_failure(failure: Failure, request_id: str) -> bytes:
    """Encode a failure and the id of its request as JSON."""
    document: FailureDocument = {
        'outcome': outcome_name(failure),
        'code': failure.code.value,
        'step': failure.step,
        'peer': failure.peer,
        'detail': failure.detail,
        'request_id': request_id,
    }
    return msgspec.json.encode(document)


def outcome_name(failure: Failure) -> str:
    """Name the kind of a failure as the outcome header carries it."""
    return 'not_run' if isinstance(failure, NotRun) else 'unknown'


def decode_failure(body: bytes, request_id: str, peer: str) -> Failure:
    """Read a failure back; anything unreadable is an unknown outcome.

    A refusal that echoes another request's id proves nothing about this one
    and is an unknown outcome too.
    """
    try:
        document = _decoder.decode(body)
    except msgspec.DecodeError:
        return Unknown('awaiting_answer', peer, 'unreadable refusal')
    is_unsolicited = not document['request_id']
    if is_unsolicited and document['code'] == Code.LEAVING:
        # A leaving node says so on an idle connection before it closes it;
        # what was written there meanwhile is read by nobody.
        return _failure_from(document)
    if document['request_id'] != request_id:
        return Unknown('awaiting_answer', peer, 'refusal of another request')
    return _failure_from(document)


def _failure_from(document: FailureDocument) -> Failure:
    step = document['step']
    peer = document['peer']
    is_not_run = document['outcome'] == 'not_run'
    known = document['code'] in _CODES
    if is_not_run:
        code = Code(document['code']) if known else Code.BAD_REQUEST
        return NotRun(code, step, peer, document['detail'])
    code = Code(document['code']) if known else Code.OUTCOME_UNKNOWN
    return Unknown(step, peer, document['detail'], code)
