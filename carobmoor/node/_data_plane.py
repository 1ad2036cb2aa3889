"""The path of a request through a node."""

import functools
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from result import Err, Ok, Result

from carobmoor.admission import Arrival, Grant
from carobmoor.client import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_LEFT_HEADER,
    Call,
    failure_of,
)
from carobmoor.configuration import ServiceDocument
from carobmoor.history import Kind
from carobmoor.node._account import account
from carobmoor.node._body import BodyFault, Receive
from carobmoor.node._context import RequestContext, read_context
from carobmoor.node._departure import Departure
from carobmoor.node._exchange import Exchange
from carobmoor.node._guard import note_lost, suspect_of
from carobmoor.node._keyed import key_of, serve_keyed
from carobmoor.node._once import grant_headers, refuse_once, run_once
from carobmoor.node._placing import is_for_another, note_end, runs_here
from carobmoor.node._relay import Send, end_to_end, relay_answer, send_failure
from carobmoor.node._state import NodeState
from carobmoor.node._watch import CallerGone, unless_gone
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.quarantine import Permit
from carobmoor.routing import REPORT_HEADER, encode_report
from carobmoor.transport import (
    Answer,
    AnswerBroken,
    HeaderList,
    OutgoingRequest,
    header_of,
    parse_address,
)
from carobmoor.transport import (
    send as send_request,
)

_MS_PER_S: Final = 1000

Application = Callable[[Any, Receive, Send], Awaitable[None]]


def make_data_plane(node: NodeState, departure: Departure) -> Application:
    """Make the ASGI application that serves callers' requests."""

    async def serve(scope: Any, receive: Receive, send: Send) -> None:
        read = read_context(scope, node.here)
        if isinstance(read, Err):
            await send_failure(send, read.err_value, '')
            return
        context = read.ok_value
        declared = await _declared(node, context)
        if isinstance(declared, Err):
            refusal = refuse_once(node, context, declared.err_value)
            await send_failure(send, refusal, context.request_id)
            return
        exchange = Exchange(context, declared.ok_value, scope, receive, send)
        exchange.count_from(node.stalls.earliest_arrival_s(exchange.started_s))
        with departure.tracked(exchange):
            failure = await _serve(node, exchange)
            if isinstance(failure, NotRun) and not exchange.is_decided:
                failure = refuse_once(node, context, failure)
            account(node, exchange, failure)
            if failure is not None:
                await _refuse(node, exchange, failure)

    return serve


async def _refuse(
    node: NodeState,
    exchange: Exchange,
    failure: Failure,
) -> None:
    context = exchange.context
    if not exchange.body.is_whole:
        await exchange.body.discard()
    extra = _own_headers(node, context)
    await send_failure(exchange.send, failure, context.request_id, extra)


async def _serve(node: NodeState, exchange: Exchange) -> Failure | None:
    if exchange.context.body_bytes > exchange.most_body_bytes:
        return NotRun(Code.BODY_TOO_LARGE, 'read_request', node.here)
    try:
        await exchange.body.open()
    except BodyFault as fault:
        return NotRun(fault.code, 'read_request', node.here)
    if is_for_another(node, exchange.context):
        return NotRun(Code.NOT_OWNER, 'read_request', node.here)
    if key_of(exchange):
        return await serve_keyed(node, exchange)
    if runs_here(node, exchange.context):
        return await run_once(node, exchange, _own)
    return await _run_for_caller(exchange, _forward(node, exchange))


async def _own(node: NodeState, exchange: Exchange) -> Failure | None:
    """Run a request on the backend server beside this node."""
    context = exchange.context
    is_settling = node.stalls.is_settling(time.monotonic())
    if is_settling and await exchange.body.is_caller_gone():
        return NotRun(Code.CALLER_GONE, 'admission', node.here)
    arrival = Arrival(
        context.request_id,
        context.rank or node.default_rank,
        exchange.caller,
        context.depth,
        exchange.deadline_s,
    )
    permitted = await node.quarantine.enter(
        suspect_of(exchange),
        exchange.left_s,
    )
    if isinstance(permitted, Err):
        return permitted.err_value
    try:
        return await _admit(node, exchange, arrival, permitted.ok_value)
    finally:
        node.quarantine.leave(permitted.ok_value)


async def _admit(
    node: NodeState,
    exchange: Exchange,
    arrival: Arrival,
    permit: Permit,
) -> Failure | None:
    exchange.note('admission', 'asked', arrival.rank)
    try:
        entered = await unless_gone(exchange.body, node.gate.enter(arrival))
    except CallerGone:
        return NotRun(Code.CALLER_GONE, 'admission', node.here)
    if isinstance(entered, Err):
        return NotRun(entered.err_value, 'admission', node.here)
    marked = node.quarantine.recheck(permit)
    if marked is not None:
        node.gate.give_back(entered.ok_value)
        return marked
    started_s = time.monotonic()
    exchange.queued_s = started_s - exchange.started_s
    exchange.note('admission', 'started')
    node.quarantine.crashes.start(permit)
    node.record(
        Kind.ADMITTED,
        request_id=arrival.request_id,
        subject=str(node.backend_server),
    )
    is_typical = False
    try:
        running = _run(node, exchange, permit)
        failure = await _run_for_caller(exchange, running)
        is_typical = failure is None or exchange.left_s <= 0
    finally:
        exchange.served_s = time.monotonic() - started_s
        _give_back(node, exchange, entered.ok_value, is_typical)
    return failure


def _give_back(
    node: NodeState,
    exchange: Exchange,
    grant: Grant,
    is_typical: bool,
) -> None:
    """Give a slot back when the backend server surely works no more on it."""
    give_back = functools.partial(
        node.gate.leave,
        grant,
        exchange.served_s,
        is_typical,
    )
    request = exchange.request
    pool = node.pools.backend_server
    lingering = None if request is None else pool.lingering(request)
    if lingering is None:
        give_back()
    else:
        lingering.when_gone(give_back)


async def _run_for_caller(
    exchange: Exchange,
    running: Coroutine[Any, Any, Failure | None],
) -> Failure | None:
    """Run on; a repeatable request is cancelled when its caller leaves.

    A request with a ticket is not, since copies may wait for its answer.
    """
    context = exchange.context
    if context.ticket is not None or not context.is_repeatable:
        return await running
    try:
        return await unless_gone(exchange.body, running)
    except CallerGone:
        return Unknown('awaiting_answer', exchange.caller, 'caller gone')


async def _run(
    node: NodeState,
    exchange: Exchange,
    permit: Permit,
) -> Failure | None:
    context = exchange.context
    request = OutgoingRequest(
        context.method,
        context.target,
        _backend_headers(exchange),
        exchange.body.first,
        exchange.body.rest,
    )
    begun_s = time.monotonic()
    exchange.request = request
    sent = await send_request(
        node.pools.backend_server,
        node.backend_server,
        request,
        exchange.left_s,
    )
    note_end(node, exchange, sent, begun_s)
    if isinstance(sent, Err):
        await note_lost(node, exchange, permit, sent.err_value)
        return _lost(exchange, failure_of(sent.err_value))
    answer = sent.ok_value
    echoed = header_of(answer.head.headers, REQUEST_ID_HEADER)
    if echoed and echoed != context.request_id:
        answer.abandon('answer of another request')
        peer = str(node.backend_server)
        return Unknown('awaiting_answer', peer, 'answer of another request')
    exchange.note('backend server', 'answered', str(node.backend_server))
    extra = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        *_own_headers(node, context),
    )
    try:
        await relay_answer(exchange.send, answer, extra, exchange.floor)
    except AnswerBroken as broken:
        await note_lost(node, exchange, permit, broken.failure)
        raise
    await node.quarantine.answered(permit)
    return None


async def _forward(node: NodeState, exchange: Exchange) -> Failure | None:
    """Send a plain caller's request on to an owner of its service."""
    context = exchange.context
    exchange.is_forwarded = True
    call = Call(
        context.service,
        context.method,
        context.target,
        exchange.body.first,
        exchange.body.rest,
        _forwarded_headers(exchange),
        rank=context.rank,
        timeout_ms=max(1, int(exchange.left_s * _MS_PER_S)),
        request_id=context.request_id,
        depth=context.depth,
        caller=exchange.caller,
        repeatable=context.is_repeatable,
        ticket=context.ticket,
        attempt=context.attempt,
        retries_left=context.retries_left,
    )
    exchange.is_decided = True
    here = (parse_address(node.here),)
    sent: Result[Answer, Failure] = await node.dispatcher.dispatch(call, here)
    if isinstance(sent, Err):
        return sent.err_value
    exchange.note('forwarding', 'answered', str(sent.ok_value.address))
    extra = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        *_closing_headers(node),
    )
    await relay_answer(exchange.send, sent.ok_value, extra, exchange.floor)
    return None


async def _declared(
    node: NodeState,
    context: RequestContext,
) -> Result[ServiceDocument, NotRun]:
    if node.configuration.accepted is None:
        return Err(NotRun(Code.NOT_READY, 'configuration', node.here))
    declared = await node.configuration.declared(context.service)
    if declared is None:
        return Err(
            NotRun(Code.UNKNOWN_SERVICE, 'configuration', node.here),
        )
    if context.rank and context.rank not in node.rank_names:
        return Err(NotRun(Code.UNKNOWN_RANK, 'configuration', node.here))
    return Ok(declared)


def _lost(exchange: Exchange, failure: Failure) -> Failure:
    fault = exchange.body.fault
    if fault is not None and isinstance(failure, Unknown):
        return failure._replace(detail=fault.value)
    return failure


def _own_headers(node: NodeState, context: RequestContext) -> HeaderList:
    headers = [(REPORT_HEADER, encode_report(node.report()))]
    headers.extend(grant_headers(node, context))
    headers.extend(_closing_headers(node))
    return headers


def _closing_headers(node: NodeState) -> HeaderList:
    return ((b'connection', b'close'),) if node.gate.is_leaving else ()


def _backend_headers(exchange: Exchange) -> HeaderList:
    context = exchange.context
    left_ms = max(1, int(exchange.left_s * _MS_PER_S))
    chain = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        (b'x-carobmoor-rank', context.rank.encode()),
        (b'x-carobmoor-depth', b'%d' % context.depth),
        (b'x-carobmoor-deadline-ms', b'%d' % left_ms),
    )
    return (*end_to_end(exchange.headers), *chain, *_retry_headers(context))


def _retry_headers(context: RequestContext) -> HeaderList:
    attempt = (ATTEMPT_HEADER, b'%d' % context.attempt)
    if context.retries_left is None:
        return (attempt,)
    return (attempt, (RETRIES_LEFT_HEADER, b'%d' % context.retries_left))


def _forwarded_headers(exchange: Exchange) -> HeaderList:
    return [
        (name, content)
        for name, content in end_to_end(exchange.headers)
        if name != b'host'
    ]
