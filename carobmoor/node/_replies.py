"""Answers of the control paths, as JSON."""

from collections.abc import Sequence
from typing import Any, Final

import msgspec
from blacksheep import Content, Request, Response

from carobmoor.configuration import Fault
from carobmoor.node._state import NodeState
from carobmoor.operators import Operator, identify
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


def operator_of(node: NodeState, request: Request) -> Operator | None:
    """Give the operator who sent a request; `None` without a valid token."""
    given = request.get_first_header(b'authorization') or b''
    return identify(node.operators, given.decode('latin-1'))


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
