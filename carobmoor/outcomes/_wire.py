"""The JSON form of a failure, sent as the body of a failure response."""

from typing import Final, TypedDict

import msgspec

from carobmoor.decoding import decoder_of
from carobmoor.outcomes._failures import Code, Failure, NotRun, Unknown

OUTCOME_HEADER: Final = 'x-carobmoor-outcome'


class FailureDocument(TypedDict):
    """The JSON body of a failure response."""

    outcome: str
    code: str
    step: str
    peer: str
    detail: str
    request_id: str


_CODES: Final = frozenset(Code)
_decode: Final = decoder_of(FailureDocument)


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
    """Return the value of the outcome header for a failure."""
    return 'not_run' if isinstance(failure, NotRun) else 'unknown'


def decode_failure(body: bytes, request_id: str, peer: str) -> Failure:
    """Decode a failure; an invalid document is an unknown outcome.

    A document with the id of another request proves nothing about this one
    and is an unknown outcome too.
    """
    try:
        document = _decode(body)
    except msgspec.DecodeError:
        return Unknown(
            'awaiting_answer',
            peer,
            'cannot decode the failure document in the response',
        )
    is_unsolicited = not document['request_id']
    if is_unsolicited and document['code'] == Code.LEAVING:
        # A leaving node sends this on an idle connection before closing it;
        # it does not read what was written there in the meantime.
        return _failure_from(document)
    if document['request_id'] != request_id:
        return Unknown(
            'awaiting_answer',
            peer,
            'the response has the failure document of another request',
        )
    return _failure_from(document)


def _failure_from(document: FailureDocument) -> Failure:
    step = document['step']
    peer = document['peer']
    is_not_run = document['outcome'] == 'not_run'
    is_known_code = document['code'] in _CODES
    if is_not_run:
        code = Code(document['code']) if is_known_code else Code.BAD_REQUEST
        return NotRun(code, step, peer, document['detail'])
    code = Code(document['code']) if is_known_code else Code.OUTCOME_UNKNOWN
    return Unknown(step, peer, document['detail'], code)
