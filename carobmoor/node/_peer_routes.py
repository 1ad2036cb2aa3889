"""Control paths for other nodes and for the client library."""

import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
import xxhash
from blacksheep import Application, Content, Request, Response

from carobmoor.configuration import (
    MISSED_VERSIONS_TARGET,
    PIECES_TARGET,
    handle_pieces_request,
    handle_since_request,
)
from carobmoor.membership import (
    SIGNATURE_HEADER,
    Member,
    MemberStatus,
    answer_digests,
    answer_helpers,
    answer_members,
    is_signed,
)
from carobmoor.node._state import NodeState
from carobmoor.quarantine import MARKS_TARGET

_OK: Final = 200
_NOT_MODIFIED: Final = 304
_BAD_REQUEST: Final = 400
_FORBIDDEN: Final = 403
_PREFIX: Final = '/_carobmoor'
_JSON: Final = b'application/json'

PeerHandler = Callable[[Request], Awaitable[Response]]


def add_peer_routes(app: Application, node: NodeState) -> None:
    """Add the route that lists members and the routes between nodes."""

    async def members(request: Request) -> Response:
        services = request.query.get('service')
        return _members_response(request, _members_of(node, services))

    def digests(body: bytes) -> bytes:
        return answer_digests(node.gossip.state, body)

    rng = random.Random()

    def helpers(body: bytes) -> bytes:
        return answer_helpers(node.gossip.state, body, rng)

    def gossip(body: bytes) -> bytes:
        return answer_members(node.gossip.state, body, time.monotonic())

    def since(body: bytes) -> bytes:
        return handle_since_request(node.configuration.state, body)

    def pieces(body: bytes) -> bytes:
        return handle_pieces_request(node.configuration.state, body)

    def marks(body: bytes) -> bytes:
        return node.quarantine.mark_exchange.answer(body)

    answers_by_path = {
        MARKS_TARGET: marks,
        f'{_PREFIX}/gossip/digests': digests,
        f'{_PREFIX}/gossip/helpers': helpers,
        f'{_PREFIX}/gossip/members': gossip,
        MISSED_VERSIONS_TARGET: since,
        PIECES_TARGET: pieces,
    }
    app.router.add_get(f'{_PREFIX}/members', members)
    for path, answer in answers_by_path.items():
        app.router.add_post(path, _require_signature(node, answer))


def _require_signature(
    node: NodeState, answer: Callable[[bytes], bytes]
) -> PeerHandler:
    """Wrap an answer function to reject bodies not signed by the cluster."""
    key = node.settings.get('cluster_key', '').encode()

    async def serve(request: Request) -> Response:
        body = await request.read() or b''
        signature_header = request.get_first_header(SIGNATURE_HEADER) or b''
        if not is_signed(key, _decode_signature(signature_header), body):
            return Response(_FORBIDDEN)
        try:
            answer_body = answer(body)
        except msgspec.DecodeError:
            return Response(_BAD_REQUEST)
        return Response(_OK, content=Content(_JSON, answer_body))

    return serve


def _decode_signature(signature_header: bytes) -> bytes:
    try:
        return bytes.fromhex(signature_header.decode('ascii'))
    except ValueError:
        return b'malformed'


def _members_of(
    node: NodeState,
    services: list[str] | None,
) -> list[Member]:
    state = node.gossip.state
    if services is None:
        return node.gossip.live_members()
    return [
        member
        for service in services
        for member in state.of_service(service)
        if member.status is not MemberStatus.DEAD and state.is_reachable(member)
    ]


def _members_response(request: Request, members: list[Member]) -> Response:
    encoded = msgspec.json.encode(members)
    etag = xxhash.xxh64_hexdigest(encoded).encode()
    headers = [(b'etag', etag)]
    if request.get_first_header(b'if-none-match') == etag:
        return Response(_NOT_MODIFIED, headers)
    return Response(_OK, headers, Content(_JSON, encoded))
