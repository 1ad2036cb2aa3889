"""Relays an owner's answer to the caller."""

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

# Answers up to this size are buffered whole, so that a broken one can be
# retried.
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
    """Relay an answer and return whether the request is finished.

    A server error is not relayed while another server may be tried.
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
    """Return whether another server may be tried after a server error."""
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
    """Read and discard an answer, so that its slot is released."""
    try:
        await _read_all(answer)
    except AnswerBroken as broken:
        reason = broken.failure.reason
        _log.debug('Discarded answer broke off.', reason=reason)


async def _read_all(answer: Running) -> bytes:
    return b''.join([chunk async for chunk in answer.chunks()])


async def _relay(node: MeshNode, pursuit: Pursuit, answer: Running) -> None:
    """Send an answer to the caller; buffer it up to 64 KiB, else stream it."""
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
