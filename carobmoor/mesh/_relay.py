"""Relays an owner's answer to the caller."""

import contextlib
import time
from typing import Final

from result import Err, Result

from carobmoor.mesh._candidates import candidates_for
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._read_answer import ReadAnswer
from carobmoor.mesh._request_log import record_end
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, Unknown
from carobmoor.routes import RouteKind
from carobmoor.transport import AnswerIncomplete, get_header

_FIRST_SERVER_ERROR: Final = 500
_LENGTH: Final = b'content-length'


async def relay_answer(
    node: MeshNode,
    pending: PendingRequest,
    peer: Peer,
    sent: Result[ReadAnswer, Failure],
) -> bool:
    """Relay an answer and return whether the request is finished.

    A server error is not relayed while another server may be tried.
    """
    if isinstance(sent, Err):
        failure = sent.err_value
        if failure.code is Code.SLOW:
            pending.declined.add(peer.address)
            pending.tried.remove(peer.address)
        pending.record_failure(failure)
        return False
    answer = sent.ok_value
    try:
        return await _relay_owned(node, pending, peer, answer)
    finally:
        answer.abandon('the answer was not passed on')


async def _relay_owned(
    node: MeshNode,
    pending: PendingRequest,
    peer: Peer,
    answer: ReadAnswer,
) -> bool:
    pending.sends += 1
    pending.may_have_run = True
    is_good = answer.status < _FIRST_SERVER_ERROR
    # The rest of a large error is not read, since it may have no end.
    if not is_good and _can_retry_elsewhere(node, pending):
        peer.success.record_outcome(False, time.monotonic())
        detail = f'status {answer.status}'
        pending.last_failure = Unknown('answer', str(peer.address), detail)
        return False
    try:
        await _send_answer(node, pending, answer)
    except AnswerIncomplete as broken:
        return _handle_broken_answer(pending, peer, broken)
    peer.success.record_outcome(is_good, time.monotonic())
    record_end(node, pending, answer.status)
    return True


def _can_retry_elsewhere(node: MeshNode, pending: PendingRequest) -> bool:
    """Return whether another server may be tried after a server error.

    Without a resend left, the error itself is the best answer.
    """
    nodes = sum(1 for _ in node.peers)
    return (
        pending.may_run_again
        and node.resend_budget.allows(pending.service, nodes, time.monotonic())
        and any(
            peer.address not in pending.tried
            for peer in candidates_for(node, pending)
        )
    )


def _handle_broken_answer(
    pending: PendingRequest, peer: Peer, broken: AnswerIncomplete
) -> bool:
    peer.success.record_outcome(False, time.monotonic())
    lost = broken.failure
    pending.last_failure = Unknown('answer', lost.peer, lost.reason)
    if pending.request.has_started:
        pending.request.abort()
        return True
    return False


async def _send_answer(
    node: MeshNode, pending: PendingRequest, answer: ReadAnswer
) -> None:
    """Send an answer to the caller, whole or streamed."""
    request = pending.request
    headers = [
        header
        for header in answer.headers
        if header[0] not in {_LENGTH, node.names.load}
    ]
    if answer.rest is None:
        request.respond(answer.status, headers, answer.start)
        _record_size(node, pending, len(answer.start))
        return
    length = get_header(answer.headers, _LENGTH)
    sent_bytes = len(answer.start)
    async with contextlib.aclosing(answer.rest) as rest:
        request.start(answer.status, headers, int(length) if length else None)
        await request.write(answer.start)
        async for chunk in rest:
            await request.write(chunk)
            sent_bytes += len(chunk)
    request.end()
    _record_size(node, pending, sent_bytes)


def _record_size(
    node: MeshNode, pending: PendingRequest, answer_bytes: int
) -> None:
    if pending.route.kind is RouteKind.DOWNLOAD:
        node.times.answer_sizes.record(pending.route.name, answer_bytes)
