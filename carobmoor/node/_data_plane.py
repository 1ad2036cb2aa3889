"""The ASGI application that serves the requests of callers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Final

from result import Err, Ok, Result

from carobmoor.client import REQUEST_ID_HEADER, Call
from carobmoor.configuration import ServiceDocument
from carobmoor.node._account import record_request_end
from carobmoor.node._body import BodyReadError, Receive
from carobmoor.node._context import RequestContext, read_context
from carobmoor.node._departure import Departure
from carobmoor.node._exchange import Exchange
from carobmoor.node._keyed import idempotency_key_of, serve_with_idempotency_key
from carobmoor.node._once import record_refusal, run_once
from carobmoor.node._owner import (
    closing_headers,
    node_headers,
    run_cancellable,
    run_on_backend_server,
)
from carobmoor.node._placing import names_other_owner, should_run_here
from carobmoor.node._relay import (
    Send,
    end_to_end_headers,
    relay_answer,
    send_failure,
)
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.transport import Answer, HeaderList, parse_address

_MS_PER_S: Final = 1000
# For callers without the client library, while the node starts.
_READY_TIMEOUT_S: Final = 5

Application = Callable[[Any, Receive, Send], Awaitable[None]]


def make_data_plane(node: NodeState, departure: Departure) -> Application:
    """Create the ASGI application that serves the requests of callers."""

    async def serve(scope: Any, receive: Receive, send: Send) -> None:
        parsed = read_context(scope, node.here)
        if isinstance(parsed, Err):
            await send_failure(send, parsed.err_value, '')
            return
        context = parsed.ok_value
        found = await _service_document(node, context)
        if isinstance(found, Err):
            refusal = record_refusal(node, context, found.err_value)
            await send_failure(send, refusal, context.request_id)
            return
        exchange = Exchange(context, found.ok_value, scope, receive, send)
        exchange.backdate_deadline(
            node.stalls.earliest_arrival_s(exchange.started_s)
        )
        with departure.tracked(exchange):
            failure = await _serve(node, exchange)
            if isinstance(failure, NotRun) and not exchange.is_ticket_decided:
                failure = record_refusal(node, context, failure)
            record_request_end(node, exchange, failure)
            if failure is not None:
                await _respond_with_failure(node, exchange, failure)

    return serve


async def _respond_with_failure(
    node: NodeState,
    exchange: Exchange,
    failure: Failure,
) -> None:
    context = exchange.context
    if not exchange.body.is_complete:
        await exchange.body.discard()
    extra_headers = node_headers(node, context)
    await send_failure(
        exchange.send, failure, context.request_id, extra_headers
    )


async def _serve(node: NodeState, exchange: Exchange) -> Failure | None:
    if exchange.context.body_bytes > exchange.max_body_bytes:
        return NotRun(Code.BODY_TOO_LARGE, 'read_request', node.here)
    try:
        await exchange.body.read_first_chunk()
    except BodyReadError as error:
        return NotRun(error.code, 'read_request', node.here)
    if names_other_owner(node, exchange.context):
        return NotRun(Code.NOT_OWNER, 'read_request', node.here)
    if idempotency_key_of(exchange):
        return await serve_with_idempotency_key(node, exchange)
    if should_run_here(node, exchange.context):
        return await run_once(node, exchange, run_on_backend_server)
    return await run_cancellable(exchange, _forward(node, exchange))


async def _forward(node: NodeState, exchange: Exchange) -> Failure | None:
    """Forward a request to an owner of its service and relay the answer."""
    context = exchange.context
    exchange.is_forwarded = True
    call = Call(
        context.service,
        context.method,
        context.target,
        exchange.body.first_chunk,
        exchange.body.remaining_chunks,
        _forwarded_headers(exchange),
        rank=context.rank,
        timeout_ms=max(1, int(exchange.remaining_s * _MS_PER_S)),
        request_id=context.request_id,
        depth=context.depth,
        caller=exchange.caller,
        repeatable=context.is_repeatable,
        ticket=context.ticket,
        attempt=context.attempt,
        retries_left=context.retries_left,
        on_step=exchange.add_note,
    )
    exchange.is_ticket_decided = True
    excluded = (parse_address(node.here),)
    sent: Result[Answer, Failure] = await node.dispatcher.dispatch(
        call, excluded
    )
    if isinstance(sent, Err):
        return sent.err_value
    exchange.add_note('forwarding', 'answered', str(sent.ok_value.address))
    extra_headers = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        *closing_headers(node),
    )
    await relay_answer(
        exchange.send, sent.ok_value, extra_headers, exchange.progress_floor
    )
    return None


async def _is_ready(node: NodeState, context: RequestContext) -> bool:
    """Return whether a configuration is in force.

    For a caller without the client library this waits a few seconds, since
    such a caller knows no other node. The library names an owner; its request
    is refused at once, and it tries another node.
    """
    if not node.has_configuration.is_set() and not context.owner:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_READY_TIMEOUT_S):
                await node.has_configuration.wait()
    return node.has_configuration.is_set()


async def _service_document(
    node: NodeState,
    context: RequestContext,
) -> Result[ServiceDocument, NotRun]:
    if not await _is_ready(node, context):
        return Err(NotRun(Code.NOT_READY, 'configuration', node.here))
    found = await node.configuration.find_service(context.service)
    if found is None:
        return Err(
            NotRun(Code.UNKNOWN_SERVICE, 'configuration', node.here),
        )
    if context.rank and context.rank not in node.rank_names:
        return Err(NotRun(Code.UNKNOWN_RANK, 'configuration', node.here))
    return Ok(found)


def _forwarded_headers(exchange: Exchange) -> HeaderList:
    return [
        (name, content)
        for name, content in end_to_end_headers(exchange.headers)
        if name != b'host'
    ]
