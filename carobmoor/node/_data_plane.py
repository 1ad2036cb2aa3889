"""The ASGI application that serves the requests of callers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Final

from result import Err, Ok, Result

from carobmoor.client import REQUEST_ID_HEADER, Call
from carobmoor.configuration import ServiceDocument
from carobmoor.node._answers import (
    Send,
    end_to_end_headers,
    relay_answer,
    send_failure,
)
from carobmoor.node._backend_run import (
    closing_headers,
    node_headers,
    run_cancellable,
    run_on_backend_server,
)
from carobmoor.node._body import BodyReadError, Receive
from carobmoor.node._context import RequestContext, parse_context
from carobmoor.node._idempotency_keys import (
    idempotency_key_of,
    serve_with_idempotency_key,
)
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._placement import names_other_owner, should_run_here
from carobmoor.node._request_end import record_request_end
from carobmoor.node._shutdown import NodeShutdown
from carobmoor.node._state import NodeState
from carobmoor.node._ticketed_run import record_refusal, run_once
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.transport import Answer, HeaderList, parse_address

_MS_PER_S: Final = 1000
# For callers without the client library, while the node starts.
_READY_TIMEOUT_S: Final = 5

Application = Callable[[Any, Receive, Send], Awaitable[None]]


def make_data_plane(node: NodeState, shutdown: NodeShutdown) -> Application:
    """Create the ASGI application that serves the requests of callers."""

    async def serve(scope: Any, receive: Receive, send: Send) -> None:
        parsed = parse_context(scope, node.address)
        if isinstance(parsed, Err):
            await send_failure(send, parsed.err_value, '')
            return
        context = parsed.ok_value
        found = await _service_document(node, context)
        if isinstance(found, Err):
            refusal = record_refusal(node, context, found.err_value)
            await send_failure(send, refusal, context.request_id)
            return
        pending = PendingRequest(context, found.ok_value, scope, receive, send)
        pending.backdate_deadline(
            node.pauses.earliest_arrival_s(pending.started_s)
        )
        with shutdown.track_request(pending):
            failure: Failure | None = shutdown.refusal_of(pending)
            if failure is None:
                failure = await _serve(node, pending)
            if isinstance(failure, NotRun) and not pending.is_ticket_decided:
                failure = record_refusal(node, context, failure)
            record_request_end(node, pending, failure)
            if failure is not None:
                await _respond_with_failure(node, pending, failure)

    return serve


async def _respond_with_failure(
    node: NodeState,
    pending: PendingRequest,
    failure: Failure,
) -> None:
    context = pending.context
    if not pending.body.is_complete:
        await pending.body.discard()
    extra_headers = node_headers(node, context)
    await send_failure(pending.send, failure, context.request_id, extra_headers)


async def _serve(node: NodeState, pending: PendingRequest) -> Failure | None:
    if pending.context.body_bytes > pending.max_body_bytes:
        return NotRun(Code.BODY_TOO_LARGE, 'read_request', node.address)
    try:
        await pending.body.read_first_chunk()
    except BodyReadError as error:
        return NotRun(error.code, 'read_request', node.address)
    if names_other_owner(node, pending.context):
        return NotRun(Code.NOT_OWNER, 'read_request', node.address)
    if idempotency_key_of(pending):
        return await serve_with_idempotency_key(node, pending)
    if should_run_here(node, pending.context):
        return await run_once(node, pending, run_on_backend_server)
    return await run_cancellable(pending, _forward(node, pending))


async def _forward(node: NodeState, pending: PendingRequest) -> Failure | None:
    """Forward a request to an owner of its service and relay the answer."""
    context = pending.context
    pending.is_forwarded = True
    call = Call(
        context.service,
        context.method,
        context.target,
        pending.body.first_chunk,
        pending.body.remaining_chunks,
        _forwarded_headers(pending),
        rank=context.rank,
        timeout_ms=max(1, int(pending.remaining_s * _MS_PER_S)),
        request_id=context.request_id,
        depth=context.depth,
        caller=pending.caller,
        repeatable=context.is_repeatable,
        ticket=context.ticket,
        attempt=context.attempt,
        retries_left=context.retries_left,
        note=pending.add_note,
    )
    pending.is_ticket_decided = True
    pending.mark_sent()
    excluded = (parse_address(node.address),)
    sent: Result[Answer, Failure] = await node.dispatcher.dispatch(
        call, excluded
    )
    if isinstance(sent, Err):
        return sent.err_value
    pending.add_note('forwarding', 'answered', str(sent.ok_value.address))
    extra_headers = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        *closing_headers(node),
    )
    await relay_answer(
        pending.send, sent.ok_value, extra_headers, pending.progress_floor
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
        return Err(NotRun(Code.NOT_READY, 'configuration', node.address))
    found = await node.configuration.find_service(context.service)
    if found is None:
        return Err(
            NotRun(Code.UNKNOWN_SERVICE, 'configuration', node.address),
        )
    if context.rank and context.rank not in node.rank_names:
        return Err(NotRun(Code.UNKNOWN_RANK, 'configuration', node.address))
    return Ok(found)


def _forwarded_headers(pending: PendingRequest) -> HeaderList:
    return [
        (name, content)
        for name, content in end_to_end_headers(pending.headers)
        if name != b'host'
    ]
