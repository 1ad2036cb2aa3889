"""Answers of the control paths, as JSON."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import Any, Final

import msgspec
from blacksheep import Content, Request, Response

from carobmoor.configuration import Fault
from carobmoor.node._state import NodeState
from carobmoor.outcomes import (
    Code,
    Failure,
    NotRun,
    Unknown,
    encode_failure,
    http_status_of,
)

OK: Final = 200
_UNPROCESSABLE: Final = 422
_BEARER: Final = 'Bearer '
_JSON: Final = b'application/json'


def operator_of(node: NodeState, request: Request) -> str:
    """Give the name of the operator who sent a request, or empty."""
    given = (request.get_first_header(b'authorization') or b'').decode()
    if not given.startswith(_BEARER):
        return ''
    digest = hashlib.sha256(given.removeprefix(_BEARER).encode()).hexdigest()
    for operator in node.settings.get('operators', ()):
        if hmac.compare_digest(operator['token_sha256'], digest):
            return operator['name']
    return ''


def unauthorised(node: NodeState) -> Response:
    """Refuse a request without a valid token."""
    return refuse(node, Code.UNAUTHORISED, 'no valid operator token')


def refuse(node: NodeState, code: Code, detail: str) -> Response:
    """Say that a request did nothing."""
    return _failed(NotRun(code, 'control', node.here, detail))


def unknown(step: str, peer: str, detail: str) -> Response:
    """Say that a request may have taken effect."""
    return _failed(Unknown(step, peer, detail))


def faulty(faults: Sequence[Fault]) -> Response:
    """List the faults of a document."""
    return as_json(
        _UNPROCESSABLE,
        {'faults': [fault._asdict() for fault in faults]},
    )


def as_json(status: int, document: Any) -> Response:
    """Answer with a document."""
    encoded = msgspec.json.encode(document)
    return Response(status, content=Content(_JSON, encoded))


def _failed(failure: Failure) -> Response:
    content = Content(_JSON, encode_failure(failure, ''))
    return Response(http_status_of(failure), content=content)
