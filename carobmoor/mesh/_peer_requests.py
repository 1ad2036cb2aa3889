"""Serves requests that other nodes send to this node."""

import asyncio
import contextlib
import time
from typing import Final

from result import Err

from carobmoor.mesh._compression import pack_routes
from carobmoor.mesh._datagrams import LOAD_HEADER, encode_datagram
from carobmoor.mesh._hop import HOP_HEADER, Hop, decode_hop
from carobmoor.mesh._owner import BackendAnswer, run_on_backend
from carobmoor.mesh._owner_request import Body, OwnerRequest
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    Failure,
    NotRun,
    encode_failure,
)
from carobmoor.quarantine import MARKS_TARGET
from carobmoor.transport import (
    AnswerIncomplete,
    CallerLost,
    IncomingRequest,
    ServingLimits,
    get_header,
)

ROUTES_TARGET: Final = b'/_carobmoor/routes'
_MARKS_TARGET: Final = MARKS_TARGET.encode()
_UNAVAILABLE: Final = 503
_OK: Final = 200
_MS_PER_S: Final = 1000
_NOT_FOUND: Final = 404
_OUTCOME: Final = OUTCOME_HEADER.encode()
_LENGTH: Final = b'content-length'
# Headers that a node adds to a request for another node.
_MAX_ADDED_HEAD_BYTES: Final = 16_384


def node_limits(node: MeshNode) -> ServingLimits:
    """Return the limits for requests of other nodes.

    What a node accepts from its callers, the owner accepts from the node.
    """
    limits = ServingLimits()
    if node.table is None:
        return limits
    callers = node.table.limits
    return limits._replace(
        max_head_bytes=max(
            limits.max_head_bytes,
            callers.max_header_bytes + _MAX_ADDED_HEAD_BYTES,
        ),
        max_body_bytes=max(limits.max_body_bytes, callers.max_body_bytes),
    )


async def serve_peer(node: MeshNode, request: IncomingRequest) -> None:
    """Answer a request from another node.

    It asks for the routes, exchanges quarantine marks, or is a request to run
    on this node's own backend server.
    """
    if request.target == ROUTES_TARGET:
        status = _OK if node.document else _NOT_FOUND
        request.respond(status, (), pack_routes(node.document))
        return
    if request.target == _MARKS_TARGET:
        marks = await _read_whole(request)
        request.respond(_OK, (), node.quarantine.mark_exchange.answer(marks))
        return
    hop = decode_hop(get_header(request.headers, HOP_HEADER))
    request_id = get_header(request.headers, node.names.request_id)
    if hop is None:
        peer = str(node.settings.node_address)
        failure = NotRun(Code.BAD_REQUEST, 'read_request', peer)
        _refuse(node, request, failure, request_id)
        return

    def mark_sent() -> None:
        request.is_sent = True

    owner_request = OwnerRequest(
        hop,
        request_id.encode('latin-1'),
        request.method,
        request.target.decode('latin-1'),
        request.headers,
        _body_of(request),
        request.disconnected,
        request.peer.rpartition(':')[0],
        mark_sent,
    )
    ran = await run_on_backend(node, owner_request)
    if isinstance(ran, Err):
        _refuse(node, request, ran.err_value, request_id)
        return
    await _send_owned(node, request, ran.ok_value, hop)


async def _send_owned(
    node: MeshNode,
    request: IncomingRequest,
    answer: BackendAnswer,
    hop: Hop,
) -> None:
    """Pass an answer on; release its slot however that ends."""
    deadline_s = request.arrived_at_s + hop.remaining_ms / _MS_PER_S
    try:
        async with asyncio.timeout_at(deadline_s):
            await _send_answer(node, request, answer, hop.kind.may_repeat)
    except (AnswerIncomplete, CallerLost, TimeoutError):
        request.abort()
    finally:
        answer.abandon('the answer was not passed on')


async def _read_whole(request: IncomingRequest) -> bytes:
    return b''.join([chunk async for chunk in request.chunks()])


def _body_of(request: IncomingRequest) -> Body:
    length_bytes = request.body_bytes
    if not length_bytes:
        return Body()
    return Body(b'', request.chunks(), length_bytes)


async def _send_answer(
    node: MeshNode,
    request: IncomingRequest,
    answer: BackendAnswer,
    may_cut: bool,
) -> None:
    length = get_header(answer.headers, _LENGTH)
    headers = [
        header
        for header in answer.headers
        if header[0] not in {_LENGTH, _OUTCOME, node.names.load}
    ]
    headers.append(_load_of(node))
    request.start(answer.status, headers, int(length) if length else None)
    async with contextlib.aclosing(answer.chunks()) as chunks:
        async for chunk in chunks:
            if not request.disconnected.done():
                await request.write(chunk)
            elif may_cut:
                raise CallerLost(request.peer)
            # Otherwise read on: a request that may run only once must not be
            # cut.
    request.end()


def _refuse(
    node: MeshNode,
    request: IncomingRequest,
    failure: Failure,
    request_id: str,
) -> None:
    name = 'not_run' if isinstance(failure, NotRun) else 'unknown'
    headers = (
        (_OUTCOME, name.encode()),
        (b'content-type', b'application/json'),
        _load_of(node),
    )
    request.respond(
        _UNAVAILABLE,
        headers,
        encode_failure(failure, request_id),
    )


def _load_of(node: MeshNode) -> tuple[bytes, bytes]:
    return (LOAD_HEADER, encode_datagram(node.load(time.monotonic())))
