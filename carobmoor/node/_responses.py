"""JSON responses of the control paths."""

from collections.abc import Sequence
from typing import Any, Final

import msgspec
from blacksheep import Content, Request, Response

from carobmoor.configuration import Fault
from carobmoor.node._state import NodeState
from carobmoor.operators import Operator, authenticate
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
_JSON: Final = b'application/json'


def authenticate_operator(node: NodeState, request: Request) -> Operator | None:
    """Return the operator who sent a request; `None` without a valid token."""
    authorization = request.get_first_header(b'authorization') or b''
    return authenticate(node.operators, authorization.decode('latin-1'))


def unauthorised_response(node: NodeState) -> Response:
    """Return the response to a request without a valid token."""
    return not_run_response(node, Code.UNAUTHORISED, 'no valid operator token')


def not_run_response(node: NodeState, code: Code, detail: str) -> Response:
    """Return the response to a request that had no effect."""
    return _failure_response(NotRun(code, 'control', node.address, detail))


def outcome_unknown_response(step: str, peer: str, detail: str) -> Response:
    """Return the response to a request that may have taken effect."""
    return _failure_response(Unknown(step, peer, detail))


def faults_response(faults: Sequence[Fault]) -> Response:
    """Return the response to a document with faults, as a list of them."""
    return json_response(
        _UNPROCESSABLE,
        {'faults': [fault._asdict() for fault in faults]},
    )


def json_response(status: int, document: Any) -> Response:
    """Return a document as a JSON response."""
    encoded = msgspec.json.encode(document)
    return Response(status, content=Content(_JSON, encoded))


def _failure_response(failure: Failure) -> Response:
    content = Content(_JSON, encode_failure(failure, ''))
    return Response(http_status_of(failure), content=content)
