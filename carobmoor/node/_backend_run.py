"""Running requests on the backend server of this node."""

import functools
import time
from collections.abc import Coroutine
from typing import Any, Final

from result import Err

from carobmoor.admission import Arrival, SlotLease
from carobmoor.client import (
    ATTEMPT_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_LEFT_HEADER,
    failure_of,
)
from carobmoor.history import EventKind
from carobmoor.node._answers import end_to_end_headers, relay_answer
from carobmoor.node._body import BodyReadError
from carobmoor.node._caller_watch import (
    CallerDisconnected,
    cancel_on_disconnect,
)
from carobmoor.node._context import RequestContext
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._placement import record_backend_result
from carobmoor.node._quarantined_run import identity_of, record_lost_connection
from carobmoor.node._server_reports import record_server_report
from carobmoor.node._state import NodeState
from carobmoor.node._ticketed_run import ticket_grant_headers
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.quarantine import Permit
from carobmoor.routing import REPORT_HEADER, encode_report
from carobmoor.transport import (
    AnswerIncomplete,
    HeaderList,
    OutgoingRequest,
    get_header,
    send,
)

_MS_PER_S: Final = 1000


async def run_on_backend_server(
    node: NodeState, pending: PendingRequest
) -> Failure | None:
    """Run a request on the backend server once it has a slot.

    After a pause of the event loop, requests whose caller has disconnected
    meanwhile are refused.
    """
    context = pending.context
    is_after_pause = node.pauses.is_settling(time.monotonic())
    if is_after_pause and await pending.body.has_caller_disconnected():
        return NotRun(Code.CALLER_GONE, 'admission', node.address)
    arrival = Arrival(
        context.request_id,
        context.rank or node.default_rank,
        pending.caller,
        context.depth,
        pending.deadline_s,
    )
    if node.quarantine.state.marks:
        # Without the start of its body, a marked request is not recognised.
        try:
            await pending.body.read_start()
        except BodyReadError as error:
            return NotRun(error.code, 'read_request', node.address)
    permitted = await node.quarantine.enter(
        identity_of(pending),
        pending.remaining_s,
    )
    if isinstance(permitted, Err):
        return permitted.err_value
    try:
        return await _run_with_slot(node, pending, arrival, permitted.ok_value)
    finally:
        node.quarantine.release(permitted.ok_value)


async def _run_with_slot(
    node: NodeState,
    pending: PendingRequest,
    arrival: Arrival,
    permit: Permit,
) -> Failure | None:
    pending.add_note('admission', 'asked', arrival.rank)
    with SlotLease(node.gate) as lease:
        code = await _acquire_slot(pending, arrival, lease)
        if code is not None:
            return NotRun(code, 'admission', node.address)
        refusal = node.quarantine.recheck(permit)
        if refusal is not None:
            return refusal
        return await _run_in_slot(node, pending, permit, lease)


async def _run_in_slot(
    node: NodeState,
    pending: PendingRequest,
    permit: Permit,
    lease: SlotLease,
) -> Failure | None:
    started_s = time.monotonic()
    pending.queued_s = started_s - pending.started_s
    pending.add_note('admission', 'started')
    node.quarantine.crash_detector.start(permit)
    node.record_event(
        EventKind.ADMITTED,
        request_id=pending.context.request_id,
        subject=str(node.backend_server),
    )
    is_typical = False
    try:
        running = _send_to_backend_server(node, pending, permit)
        failure = await run_cancellable(pending, running)
        is_typical = failure is None or pending.remaining_s <= 0
    finally:
        pending.service_s = time.monotonic() - started_s
        _release_slot(node, pending, lease.hand_over(), is_typical)
    return failure


async def _acquire_slot(
    pending: PendingRequest, arrival: Arrival, lease: SlotLease
) -> Code | None:
    """Wait for a slot; return why there is none, else the lease holds it.

    The caller is watched only if the slot is not free at once.
    """
    code = lease.request(arrival)
    if code is not None or not lease.must_wait:
        return code
    try:
        return await cancel_on_disconnect(pending.body, lease.wait())
    except CallerDisconnected:
        return Code.CALLER_GONE


def _release_slot(
    node: NodeState,
    pending: PendingRequest,
    lease: SlotLease,
    is_typical: bool,
) -> None:
    """Release a slot once the backend server no longer works on the request.

    After an abandoned request that is when its connection has closed.
    """
    release_slot = functools.partial(
        lease.leave,
        pending.service_s,
        is_typical,
    )
    request = pending.backend_request
    pool = node.pools.backend_server
    lingering_connection = (
        None if request is None else pool.find_lingering(request)
    )
    if lingering_connection is None:
        release_slot()
    else:
        lingering_connection.on_closed(release_slot)


async def run_cancellable(
    pending: PendingRequest,
    running: Coroutine[Any, Any, Failure | None],
) -> Failure | None:
    """Run a request; if repeatable, cancel it when its caller disconnects.

    A request with a ticket is not cancelled, since other copies may wait for
    its answer.
    """
    context = pending.context
    if context.ticket is not None or not context.is_repeatable:
        return await running
    try:
        return await cancel_on_disconnect(pending.body, running)
    except CallerDisconnected:
        return Unknown(
            'awaiting_answer',
            pending.caller,
            'the caller disconnected before its answer',
        )


async def _send_to_backend_server(
    node: NodeState,
    pending: PendingRequest,
    permit: Permit,
) -> Failure | None:
    context = pending.context
    request = OutgoingRequest(
        context.method,
        context.target,
        _backend_headers(pending),
        pending.body.first_chunk,
        pending.body.remaining_chunks,
    )
    sent_at_s = time.monotonic()
    pending.mark_sent()
    pending.backend_request = request
    sent = await send(
        node.pools.backend_server,
        node.backend_server,
        request,
        pending.remaining_s,
    )
    record_backend_result(node, pending, sent, sent_at_s)
    if isinstance(sent, Err):
        await record_lost_connection(node, pending, permit, sent.err_value)
        return _with_body_error(pending, failure_of(sent.err_value))
    answer = sent.ok_value
    record_server_report(node, answer.head.headers, sent_at_s)
    echoed_id = get_header(answer.head.headers, REQUEST_ID_HEADER)
    if echoed_id and echoed_id != context.request_id:
        answer.abandon('the answer has the id of another request')
        peer = str(node.backend_server)
        return Unknown(
            'awaiting_answer', peer, 'the answer has the id of another request'
        )
    pending.add_note('backend server', 'answered', str(node.backend_server))
    extra_headers = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        *node_headers(node, context),
    )
    try:
        await relay_answer(
            pending.send, answer, extra_headers, pending.progress_floor
        )
    except AnswerIncomplete as broken:
        await record_lost_connection(node, pending, permit, broken.failure)
        raise
    await node.quarantine.record_answer(permit)
    return None


def _with_body_error(pending: PendingRequest, failure: Failure) -> Failure:
    error_code = pending.body.error_code
    if error_code is not None and isinstance(failure, Unknown):
        return failure._replace(detail=error_code.value)
    return failure


def node_headers(node: NodeState, context: RequestContext) -> HeaderList:
    """Return the headers with the load report and ticket grant of this node."""
    headers = [(REPORT_HEADER, encode_report(node.load_report()))]
    headers.extend(ticket_grant_headers(node, context))
    headers.extend(closing_headers(node))
    return headers


def closing_headers(node: NodeState) -> HeaderList:
    """Return headers that close the connection while this node is leaving."""
    return ((b'connection', b'close'),) if node.gate.is_leaving else ()


def _backend_headers(pending: PendingRequest) -> HeaderList:
    context = pending.context
    remaining_ms = max(1, int(pending.remaining_s * _MS_PER_S))
    context_headers = (
        (REQUEST_ID_HEADER, context.request_id.encode()),
        (b'x-carobmoor-rank', context.rank.encode()),
        (b'x-carobmoor-depth', b'%d' % context.depth),
        (b'x-carobmoor-deadline-ms', b'%d' % remaining_ms),
    )
    return (
        *end_to_end_headers(pending.headers),
        *context_headers,
        *_retry_headers(context),
    )


def _retry_headers(context: RequestContext) -> HeaderList:
    attempt = (ATTEMPT_HEADER, b'%d' % context.attempt)
    if context.retries_left is None:
        return (attempt,)
    return (attempt, (RETRIES_LEFT_HEADER, b'%d' % context.retries_left))
