"""Serves callers' requests: finds the route, tries owners, answers once."""

import asyncio
import time
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh._allotments import return_unused_start, take_start
from carobmoor.mesh._attempt import choose_peer
from carobmoor.mesh._hedge import attempt_hedged
from carobmoor.mesh._keys import find_team, refuse_key
from carobmoor.mesh._owner import wait_after_pause
from carobmoor.mesh._owner_request import cancel_when_lost
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pending_request import (
    PendingRequest,
    discard_body,
    read_body,
)
from carobmoor.mesh._relay import relay_answer
from carobmoor.mesh._responses import (
    request_id_of,
    respond,
    respond_failure,
    respond_unavailable,
)
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.routes import Route, RouteTable, find_route
from carobmoor.telemetry import logger_for
from carobmoor.transport import CallerLost, IncomingRequest, get_header

_MS_PER_S: Final = 1000
_DEFAULT_DEADLINE_MS: Final = 10_000
# Reserved from the deadline, so that the answer still reaches the caller.
_ANSWER_MARGIN_MS: Final = 10
# Share of the remaining time that a request may wait for an owner to be known.
_WAIT_SHARE: Final = 0.3
_POLL_S: Final = 0.02
# Share of the typical time that must remain for another owner to be tried.
_MIN_RETRY_SHARE: Final = 0.4
# Owners that refuse a request for lack of time before its caller is told. Each
# was the most promising one.
_MAX_BACKLOG_REFUSALS: Final = 3
_log = logger_for('forward')


async def serve_caller(node: MeshNode, request: IncomingRequest) -> None:
    """Answer a request from a caller on this instance."""
    node.callers.unfinished += 1
    node.callers.last_arrival_s = time.monotonic()
    try:
        await _serve(node, request)
    finally:
        node.callers.unfinished -= 1


def is_idempotent(node: MeshNode, request: IncomingRequest) -> bool:
    """Return whether a request may be served beside others like it."""
    route = None if node.table is None else _route_of(node.table, request)
    return route is not None and route.kind.may_repeat


async def _serve(node: MeshNode, request: IncomingRequest) -> None:
    await wait_after_pause(node)
    if request.disconnected.done():
        raise CallerLost
    table = node.table
    if table is None:
        await discard_body(request)
        respond_unavailable(node, request)
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
    team = find_team(node, route, request)
    if isinstance(team, Err):
        await refuse_key(node, request, route, team.err_value)
        return
    pending = _start_request(node, request, route)
    pending.team = team.ok_value
    if not node.stop_times.may_accept(pending.deadline_s, time.monotonic()):
        await discard_body(request)
        respond_failure(node, pending, _stops_too_soon(node))
        return
    try:
        async with asyncio.timeout(max(0, pending.remaining_s)):
            served = await cancel_when_lost(
                request.disconnected, _attempt_until_answered(node, pending)
            )
    except TimeoutError:
        served = Err(Unknown('deadline', '', 'no answer in time'))
    except CallerLost:
        return_unused_start(node, pending, None)
        _log.info(
            'Caller disconnected.',
            request_id=request_id_of(node, request),
        )
        raise
    if isinstance(served, Err):
        return_unused_start(node, pending, served.err_value)
        respond_failure(node, pending, served.err_value)


def _route_of(table: RouteTable, request: IncomingRequest) -> Route | None:
    host = get_header(request.headers, b'host')
    path = request.target.partition(b'?')[0].decode('latin-1')
    return find_route(table, host, path)


def _start_request(
    node: MeshNode,
    request: IncomingRequest,
    route: Route,
) -> PendingRequest:
    now_s = node.pauses.earliest_arrival_s(time.monotonic())
    limit_ms = min(_deadline_ms(node, request), route.timeout_ms)
    service = node.splits.next_service(route)
    node.resend_budget.record_request(service, now_s)
    deadline_s = now_s + (limit_ms - _ANSWER_MARGIN_MS) / _MS_PER_S
    pending = PendingRequest(request, route, service, deadline_s)
    pending.version = node.version
    return pending


def _stops_too_soon(node: MeshNode) -> NotRun:
    return NotRun(Code.LEAVING, 'stop', str(node.settings.node_address))


def _deadline_ms(node: MeshNode, request: IncomingRequest) -> float:
    declared_ms = get_header(request.headers, node.names.deadline_ms)
    return (
        float(declared_ms) if declared_ms.isdecimal() else _DEFAULT_DEADLINE_MS
    )


async def _attempt_until_answered(
    node: MeshNode, pending: PendingRequest
) -> Result[None, Failure]:
    """Read the body, then try owners until one answers or none may be tried."""
    pending.body = await read_body(pending.request)
    refused = await take_start(node, pending)
    if refused is not None:
        return Err(refused)
    while True:
        peer = await _choose_or_wait(node, pending)
        if peer is None:
            return Err(_final_failure(pending))
        pending.tried.append(peer.address)
        started_s = time.monotonic()
        outcome = await attempt_hedged(node, pending, peer)
        if await relay_answer(node, pending, *outcome):
            duration_ms = (time.monotonic() - started_s) * _MS_PER_S
            node.times.response_times.record(pending.route.name, duration_ms)
            node.resend_budget.hedges.record_latency(
                pending.route.name, duration_ms / _MS_PER_S
            )
            return Ok(None)
        if not _may_retry(node, pending):
            return Err(_final_failure(pending))


async def _choose_or_wait(
    node: MeshNode, pending: PendingRequest
) -> Peer | None:
    """Choose an owner, and wait for a limited time if none is known yet.

    After a restart of many nodes, servers become known one by one. Regions
    that contradict each other leave nothing to wait for.
    """
    until_s = time.monotonic()
    if pending.regions != frozenset():
        until_s += pending.remaining_s * _WAIT_SHARE
    while True:
        peer = await choose_peer(node, pending)
        is_decided = peer is not None or pending.tried or pending.last_failure
        if is_decided or time.monotonic() > until_s:
            return peer
        await asyncio.sleep(_POLL_S)


def _final_failure(pending: PendingRequest) -> Failure:
    return pending.last_failure or NotRun(
        Code.NO_CANDIDATE,
        'choice',
        pending.service,
    )


def _may_retry(node: MeshNode, pending: PendingRequest) -> bool:
    if pending.may_have_run and not pending.may_run_again:
        return False
    if not pending.may_attempt_again:
        return False
    if pending.backlog_refusals >= _MAX_BACKLOG_REFUSALS:
        return False
    typical_ms = node.times.response_times.typical_ms(pending.route.name)
    if pending.remaining_s <= typical_ms / _MS_PER_S * _MIN_RETRY_SHARE:
        return False
    if not pending.sends:
        return True
    nodes = sum(1 for _ in node.peers)
    is_within_budget = node.resend_budget.try_spend(
        pending.service, nodes, time.monotonic()
    )
    if is_within_budget:
        node.metrics.resends.labels(pending.service).inc()
    return is_within_budget
