"""Running a request on the backend server beside this node."""

import time
from collections.abc import AsyncIterator
from typing import Final

from result import Err, Ok, Result

from carobmoor.admission import Arrival, Grant
from carobmoor.mesh._backend import read_load
from carobmoor.mesh._hop import HOP_HEADER
from carobmoor.mesh._order import Order, failure_of, until_lost
from carobmoor.mesh._state import MeshNode, rank_name
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.routes import Kind
from carobmoor.transport import (
    Answer,
    CallerLost,
    CallFailure,
    HeaderList,
    OutgoingRequest,
    end_to_end,
    header_of,
    send,
)

_MS_PER_S: Final = 1000
_MISDIRECTED: Final = 421
# Statuses that promise that the request did not run.
_PROMISES: Final = frozenset((408, 421, 429, 503))
_FIRST_FAILED_STATUS: Final = 400
_FIRST_SERVER_ERROR: Final = 500


class OwnAnswer:
    """The answer of the backend server; its slot is held to its end."""

    def __init__(
        self,
        node: MeshNode,
        answer: Answer,
        grant: Grant,
        started_s: float,
    ) -> None:
        """Bind the answer to the slot that it holds."""
        self.status = answer.head.status
        self.headers: HeaderList = end_to_end(answer.head.headers)
        self._node = node
        self._answer = answer
        self._grant = grant
        self._started_s = started_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the body, then give the slot back."""
        is_good = False
        try:
            async for chunk in self._answer.chunks():
                yield chunk
            is_good = self.status < _FIRST_SERVER_ERROR
        finally:
            self._end(is_good)

    def _end(self, is_good: bool) -> None:
        now_s = time.monotonic()
        took_s = now_s - self._started_s
        self._node.gate.leave(self._grant, took_s, is_good)
        self._node.backend.success.note(is_good, now_s)


async def run_here(
    node: MeshNode,
    order: Order,
) -> Result[OwnAnswer, Failure]:
    """Run a request on the own backend server, unless it is too late."""
    deadline_s = time.monotonic() + order.hop.left_ms / _MS_PER_S
    refusal = _refusal(node, order)
    if refusal is not None:
        return Err(refusal)
    if await node.pace.is_slow():
        if order.hop.may_bounce:
            return Err(_not_run(node, Code.SLOW))
        latest_s = deadline_s - order.hop.work_ms / _MS_PER_S
        await node.pace.wait_usual(order.hop.work_ms, latest_s)
    entered = await _enter(node, order, deadline_s)
    if isinstance(entered, Err):
        return entered
    grant = entered.ok_value
    refusal = _refusal(node, order)
    if refusal is None and order.lost.done():
        refusal = _not_run(node, Code.CALLER_GONE)
    if refusal is not None:
        node.gate.give_back(grant)
        return Err(refusal)
    return await _run(node, order, grant, deadline_s)


def _refusal(node: MeshNode, order: Order) -> NotRun | None:
    backend = node.backend
    last = backend.last
    hop = order.hop
    if last is None or last.service != hop.service:
        return _not_run(node, Code.NOT_OWNER)
    if hop.instance_id and hop.instance_id != last.instance_id:
        return _not_run(node, Code.NOT_OWNER)
    if not backend.is_ready or node.is_leaving:
        return _not_run(node, Code.LEAVING)
    return None


def _not_run(node: MeshNode, code: Code) -> NotRun:
    return NotRun(code, 'admission', str(node.settings.node_address))


async def _enter(
    node: MeshNode,
    order: Order,
    deadline_s: float,
) -> Result[Grant, Failure]:
    arrival = Arrival(
        order.request_id.decode('latin-1'),
        rank_name(order.hop.priority),
        '',
        0,
        deadline_s,
    )
    asked = node.gate.ask(arrival)
    if isinstance(asked, Err):
        return Err(_not_run(node, asked.err_value))
    try:
        waited = await until_lost(order.lost, node.gate.wait(asked.ok_value))
    except CallerLost:
        return Err(_not_run(node, Code.CALLER_GONE))
    if isinstance(waited, Err):
        return Err(_not_run(node, waited.err_value))
    return Ok(waited.ok_value)


async def _run(
    node: MeshNode,
    order: Order,
    grant: Grant,
    deadline_s: float,
) -> Result[OwnAnswer, Failure]:
    started_s = time.monotonic()
    sending = _send(node, order, deadline_s - started_s)
    answer: Answer | None = None
    try:
        if order.hop.kind is Kind.IDEMPOTENT:
            sent = await until_lost(order.lost, sending)
        else:
            sent = await sending
        judged = _judge(node, sent, deadline_s)
        answer = judged.ok()
    finally:
        if answer is None:
            node.gate.leave(grant, time.monotonic() - started_s, False)
    return judged.map(
        lambda good: OwnAnswer(node, good, grant, started_s),
    )


async def _send(
    node: MeshNode,
    order: Order,
    left_s: float,
) -> Result[Answer, CallFailure]:
    names = node.names
    left_ms = max(1, int(left_s * _MS_PER_S))
    managed = (
        (names.deadline_ms, b'%d' % left_ms),
        (names.expected_instance, node.backend.instance_id.encode()),
    )
    replaced = {HOP_HEADER, names.deadline_ms, names.expected_instance}
    kept = [
        header
        for header in end_to_end(order.headers)
        if header[0] not in replaced
    ]
    request = OutgoingRequest(
        order.method,
        order.target,
        (*kept, *managed),
        order.body.first,
        order.body.rest,
        echoed=(names.request_id, order.request_id),
    )
    return await send(
        node.backend_pool,
        node.settings.backend_server,
        request,
        left_s,
    )


def _judge(
    node: MeshNode,
    sent: Result[Answer, CallFailure],
    deadline_s: float,
) -> Result[Answer, Failure]:
    now_s = time.monotonic()
    if isinstance(sent, Err):
        if now_s < deadline_s:
            node.backend.success.note(False, now_s)
        return Err(failure_of(sent.err_value))
    answer = sent.ok_value
    load = read_load(header_of(answer.head.headers, node.names.load))
    if load is not None:
        node.backend.note_pace(load.pace_percent, now_s)
    failure = _fault_of(node, answer)
    if failure is None:
        return Ok(answer)
    answer.abandon('no answer to pass on')
    node.backend.success.note(False, now_s)
    return Err(failure)


def _fault_of(node: MeshNode, answer: Answer) -> Failure | None:
    """Tell why an answer is not passed on; `None` when it is."""
    headers = answer.head.headers
    status = answer.head.status
    peer = str(answer.address)
    if header_of(headers, node.names.not_run) or status == _MISDIRECTED:
        return NotRun(Code.NOT_SENT, 'answer', peer, f'status {status}')
    is_signed = bool(header_of(headers, node.names.signature))
    is_success = status < _FIRST_FAILED_STATUS
    if status in _PROMISES or (is_success and not is_signed):
        return Unknown('answer', peer, f'status {status} can not be told')
    return None
