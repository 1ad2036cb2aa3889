"""Serves callers' requests: finds the route, tries owners, answers once."""

import asyncio
import time
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh._attempt import choose_peer
from carobmoor.mesh._hedge import attempt_hedged
from carobmoor.mesh._order import until_lost
from carobmoor.mesh._owner import settle_after_pause
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pursuit import Pursuit, discard_body, read_body
from carobmoor.mesh._relay import pass_on
from carobmoor.mesh._replies import give_up, refuse, request_id_of, respond
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.routes import Route, RouteTable, find_route
from carobmoor.telemetry import logger_for
from carobmoor.transport import CallerLost, IncomingRequest, header_of

_MS_PER_S: Final = 1000
_DEFAULT_DEADLINE_MS: Final = 10_000
# Reserved from the deadline, so that the answer still reaches the caller.
_ANSWER_MARGIN_MS: Final = 10
# Share of the remaining time to wait for a first known owner.
_PATIENT_SHARE: Final = 0.3
_LOOK_S: Final = 0.02
_log = logger_for('forward')


async def serve_caller(node: MeshNode, request: IncomingRequest) -> None:
    """Answer a request from a caller on this instance."""
    node.in_hand += 1
    node.last_request_s = time.monotonic()
    try:
        await _serve(node, request)
    finally:
        node.in_hand -= 1


async def _serve(node: MeshNode, request: IncomingRequest) -> None:
    await settle_after_pause(node)
    if request.lost.done():
        raise CallerLost
    table = node.table
    if table is None or time.monotonic() > node.refuses_from_s:
        await discard_body(request)
        refuse(node, request)
        return
    route = _route_of(table, request)
    if route is None:
        await discard_body(request)
        respond(node, request, HTTPStatus.NOT_FOUND)
        return
    if not request_id_of(node, request):
        # Without an id, its answer could be mistaken for that of another.
        await discard_body(request)
        respond(node, request, HTTPStatus.BAD_REQUEST)
        return
    pursuit = _begin(node, request, route)
    try:
        async with asyncio.timeout(max(0, pursuit.left_s)):
            pursued = await until_lost(request.lost, _pursue(node, pursuit))
    except TimeoutError:
        pursued = Err(Unknown('deadline', '', 'no answer in time'))
    except CallerLost:
        _log.info(
            'Caller disconnected.',
            request_id=request_id_of(node, request),
        )
        raise
    if isinstance(pursued, Err):
        give_up(node, pursuit, pursued.err_value)


def _route_of(table: RouteTable, request: IncomingRequest) -> Route | None:
    host = header_of(request.headers, b'host')
    path = request.target.partition(b'?')[0].decode('latin-1')
    return find_route(table, host, path)


def _begin(
    node: MeshNode,
    request: IncomingRequest,
    route: Route,
) -> Pursuit:
    now_s = node.stalls.earliest_arrival_s(time.monotonic())
    limit_ms = min(_deadline_ms(node, request), route.timeout_ms)
    service = node.splits.next_service(route)
    node.budget.note_request(service, now_s)
    deadline_s = now_s + (limit_ms - _ANSWER_MARGIN_MS) / _MS_PER_S
    pursuit = Pursuit(request, route, service, deadline_s)
    pursuit.version = node.version
    return pursuit


def _deadline_ms(node: MeshNode, request: IncomingRequest) -> float:
    told = header_of(request.headers, node.names.deadline_ms)
    return float(told) if told.isdigit() else _DEFAULT_DEADLINE_MS


async def _pursue(node: MeshNode, pursuit: Pursuit) -> Result[None, Failure]:
    """Read the body, then try owners until one answers or none may be tried."""
    pursuit.body = await read_body(pursuit.request)
    while True:
        peer = await _choose_patiently(node, pursuit)
        if peer is None:
            return Err(_no_candidate(pursuit))
        pursuit.tried.append(peer.address)
        started_s = time.monotonic()
        attempted = await attempt_hedged(node, pursuit, peer)
        if await pass_on(node, pursuit, *attempted):
            took_ms = (time.monotonic() - started_s) * _MS_PER_S
            node.times.answers.note(pursuit.route.name, took_ms)
            return Ok(None)
        if not _may_go_on(node, pursuit):
            return Err(_no_candidate(pursuit))


async def _choose_patiently(node: MeshNode, pursuit: Pursuit) -> Peer | None:
    """Choose an owner, and wait for a limited time if none is known yet.

    After a restart of many nodes, servers become known one by one.
    """
    until_s = time.monotonic() + pursuit.left_s * _PATIENT_SHARE
    while True:
        peer = choose_peer(node, pursuit)
        if peer is not None or pursuit.tried or time.monotonic() > until_s:
            return peer
        await asyncio.sleep(_LOOK_S)


def _no_candidate(pursuit: Pursuit) -> Failure:
    return pursuit.last_failure or NotRun(
        Code.NO_CANDIDATE,
        'choice',
        pursuit.service,
    )


def _may_go_on(node: MeshNode, pursuit: Pursuit) -> bool:
    if pursuit.may_have_run and not pursuit.may_repeat:
        return False
    if not pursuit.may_try_again:
        return False
    if not pursuit.sends:
        return True
    nodes = sum(1 for _ in node.peers)
    may_repeat = node.budget.take(pursuit.service, nodes, time.monotonic())
    if may_repeat:
        node.metrics.repeats.labels(pursuit.service).inc()
    return may_repeat
