"""Passing an owner's answer on to the caller."""

import time
from typing import Final

from result import Err, Result

from carobmoor.mesh._ended import note_end
from carobmoor.mesh._order import Running
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pursuit import Pursuit
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, Unknown
from carobmoor.telemetry import logger_for
from carobmoor.transport import AnswerBroken, header_of

# Answers up to this size are read whole before they are passed on.
_KEPT_ANSWER_BYTES: Final = 65_536
_FIRST_SERVER_ERROR: Final = 500
_LENGTH: Final = b'content-length'
_log = logger_for('relay')


async def pass_on(
    node: MeshNode,
    pursuit: Pursuit,
    peer: Peer,
    sent: Result[Running, Failure],
) -> bool:
    """Pass an answer on; tell whether the caller has its answer now.

    A failed answer is kept back as long as another server may be tried.
    """
    if isinstance(sent, Err):
        failure = sent.err_value
        if failure.code is Code.SLOW:
            pursuit.bounced.add(peer.address)
            pursuit.tried.remove(peer.address)
        pursuit.note_failure(failure)
        return False
    answer = sent.ok_value
    pursuit.sends += 1
    pursuit.may_have_run = True
    is_good = answer.status < _FIRST_SERVER_ERROR
    if not is_good and _is_worth_repeating(node, pursuit):
        await drop(answer)
        peer.success.note(False, time.monotonic())
        detail = f'status {answer.status}'
        pursuit.last_failure = Unknown('answer', str(peer.address), detail)
        return False
    try:
        await _relay(node, pursuit, answer)
    except AnswerBroken as broken:
        return _break_off(pursuit, peer, broken)
    peer.success.note(is_good, time.monotonic())
    note_end(node, pursuit, answer.status)
    return True


def _is_worth_repeating(node: MeshNode, pursuit: Pursuit) -> bool:
    """Tell whether another server may be tried after a failed answer."""
    return pursuit.may_repeat and any(
        peer.address not in pursuit.tried
        for peer in node.peers.of_service(pursuit.service)
    )


def _break_off(pursuit: Pursuit, peer: Peer, broken: AnswerBroken) -> bool:
    peer.success.note(False, time.monotonic())
    lost = broken.failure
    pursuit.last_failure = Unknown('answer', lost.peer, lost.reason)
    if pursuit.request.has_started:
        pursuit.request.abort()
        return True
    return False


async def drop(answer: Running) -> None:
    """Read an answer that nobody wants, so that its slot comes free."""
    try:
        await _read_all(answer)
    except AnswerBroken as broken:
        reason = broken.failure.reason
        _log.debug('A dropped answer broke off.', reason=reason)


async def _read_all(answer: Running) -> bytes:
    return b''.join([chunk async for chunk in answer.chunks()])


async def _relay(node: MeshNode, pursuit: Pursuit, answer: Running) -> None:
    """Send an answer to the caller, whole where it is small."""
    request = pursuit.request
    headers = [
        header
        for header in answer.headers
        if header[0] not in {_LENGTH, node.names.load}
    ]
    parts: list[bytes] = []
    kept_bytes = 0
    chunks = answer.chunks()
    async for chunk in chunks:
        parts.append(chunk)
        kept_bytes += len(chunk)
        if kept_bytes > _KEPT_ANSWER_BYTES:
            break
    else:
        request.respond(answer.status, headers, b''.join(parts))
        return
    length = header_of(answer.headers, _LENGTH)
    request.start(answer.status, headers, int(length) if length else None)
    await request.write(b''.join(parts))
    async for late_chunk in chunks:
        await request.write(late_chunk)
    request.end()
