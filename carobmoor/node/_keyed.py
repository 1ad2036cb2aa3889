"""Requests with an idempotency key, from callers without the library."""

import time
import uuid
from typing import Final, NamedTuple

import xxhash
from result import Err, Result

from carobmoor.client import REQUEST_ID_HEADER, Call
from carobmoor.idempotency import (
    Claim,
    ResultRow,
    claim_key,
    decode_claim,
    keep_result,
    release_key,
    row_key_of,
)
from carobmoor.node._body import BodyFault
from carobmoor.node._exchange import Exchange
from carobmoor.node._once import AnswerRecorder, tell_answer
from carobmoor.node._relay import end_to_end, relay_answer
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.store import Row
from carobmoor.tickets import KeptAnswer
from carobmoor.transport import header_of, parse_address

_KEY_HEADER: Final = b'idempotency-key'
_MOST_BODY_BYTES: Final = 1_048_576
_MOST_ANSWER_BYTES: Final = 16_384
_MOST_CLAIMS: Final = 3
_STEP: Final = 'idempotency'
_MS_PER_S: Final = 1000
# Another owner may accept these; other refusals would recur.
_WORTH_ANOTHER: Final = frozenset(
    (Code.LEAVING, Code.QUEUE_FULL, Code.NOT_READY, Code.DEADLINE_UNREACHABLE),
)


class Standing(NamedTuple):
    """The row of an idempotency key and the claim in it."""

    row: Row
    claim: Claim


def key_of(exchange: Exchange) -> str:
    """Return the idempotency key of a request, or '' if it is not needed.

    Repeatable requests need none. For calls by the client library and other
    requests with a ticket, the owner already prevents a second run.
    """
    context = exchange.context
    if context.owner or context.is_repeatable or context.ticket is not None:
        return ''
    return header_of(exchange.headers, _KEY_HEADER)


async def serve_keyed(node: NodeState, exchange: Exchange) -> Failure | None:
    """Claim the key, then send the request with the ticket in the claim."""
    exchange.is_decided = True
    body = await _whole_body(node, exchange)
    if isinstance(body, NotRun):
        return body
    failure: Failure | None = None
    for _ in range(_MOST_CLAIMS):
        failure = await _serve_once(node, exchange, body)
        if failure is None or failure.code not in _WORTH_ANOTHER:
            break
    return failure


async def _serve_once(
    node: NodeState,
    exchange: Exchange,
    body: bytes,
) -> Failure | None:
    fingerprint = _fingerprint(exchange, body)
    claimed = await _claim(node, exchange, fingerprint)
    if isinstance(claimed, Err):
        return claimed.err_value
    standing = claimed.ok_value
    claim = standing.claim
    if (claim.service, claim.fingerprint) != (
        exchange.context.service,
        fingerprint,
    ):
        detail = 'the idempotency key was used for a different request'
        return NotRun(Code.CONFLICT, _STEP, node.here, detail)
    if claim.ending is not None:
        return await _tell(node, exchange, claim.ending)
    return await _send(node, exchange, body, standing)


async def _claim(
    node: NodeState,
    exchange: Exchange,
    fingerprint: str,
) -> Result[Standing, Failure]:
    context = exchange.context
    request_id = uuid.uuid4().hex
    minted = await node.dispatcher.mint_for(context.service, request_id)
    if isinstance(minted, Err):
        return minted
    claim = Claim(
        uuid.uuid4().hex,
        context.service,
        fingerprint,
        request_id,
        minted.ok_value,
        time.time(),
    )
    # Not the caller's address, which may differ between copies.
    row_key = row_key_of(context.caller, key_of(exchange))
    claimed = await claim_key(node.platform, row_key, claim)
    if isinstance(claimed, Err):
        lost = claimed.err_value
        return Err(
            NotRun(Code.STORE_UNAVAILABLE, _STEP, lost.peer, lost.detail)
        )
    row = claimed.ok_value
    return claimed.map(lambda _: Standing(row, decode_claim(row.content)))


async def _send(
    node: NodeState,
    exchange: Exchange,
    body: bytes,
    standing: Standing,
) -> Failure | None:
    claim = standing.claim
    call = Call(
        claim.service,
        exchange.context.method,
        exchange.context.target,
        body,
        headers=_headers_of(exchange),
        rank=exchange.context.rank,
        timeout_ms=max(1, int(exchange.left_s * _MS_PER_S)),
        request_id=claim.request_id,
        depth=exchange.context.depth,
        caller=exchange.context.caller,
        ticket=claim.ticket,
    )
    owner = parse_address(claim.ticket.owner)
    sent = await node.dispatcher.send_to(call, owner, exchange.deadline_s)
    if isinstance(sent, Err):
        if isinstance(sent.err_value, NotRun):
            await release_key(node.platform, standing.row)
        return sent.err_value
    recorder = AnswerRecorder(exchange.send, _MOST_ANSWER_BYTES)
    extra = ((REQUEST_ID_HEADER, exchange.context.request_id.encode()),)
    await relay_answer(recorder.send, sent.ok_value, extra, exchange.floor)
    ending = _ending_of(recorder, sent.ok_value.head.status)
    await keep_result(
        node.platform,
        standing.row,
        claim._replace(ending=ending),
    )
    return None


async def _tell(
    node: NodeState,
    exchange: Exchange,
    ending: ResultRow,
) -> Failure | None:
    if ending.body is None:
        detail = 'the request has run; its answer was too large to keep'
        return Unknown(_STEP, node.here, detail, Code.ALREADY_RUN)
    kept = KeptAnswer(ending.status, ending.headers, ending.body)
    await tell_answer(exchange, kept)
    return None


async def _whole_body(
    node: NodeState,
    exchange: Exchange,
) -> bytes | NotRun:
    body = bytearray(exchange.body.first)
    try:
        while exchange.body.rest is not None and len(body) <= _MOST_BODY_BYTES:
            body.extend(await anext(exchange.body.rest))
    except StopAsyncIteration:
        return bytes(body)
    except BodyFault as fault:
        return NotRun(fault.code, 'read_request', node.here)
    if len(body) > _MOST_BODY_BYTES:
        detail = f'body exceeds {_MOST_BODY_BYTES} bytes, the limit with a key'
        return NotRun(Code.BODY_TOO_LARGE, _STEP, node.here, detail)
    return bytes(body)


def _ending_of(recorder: AnswerRecorder, status: int) -> ResultRow:
    kept = recorder.answer()
    if kept is None:
        return ResultRow(status, (), None)
    return ResultRow(kept.status, kept.headers, kept.body)


def _headers_of(exchange: Exchange) -> list[tuple[bytes, bytes]]:
    dropped = (b'host', b'content-length')
    return [
        (name, content)
        for name, content in end_to_end(exchange.headers)
        if name not in dropped
    ]


def _fingerprint(exchange: Exchange, body: bytes) -> str:
    context = exchange.context
    digest = xxhash.xxh3_128(f'{context.method} {context.target} '.encode())
    digest.update(body)
    return digest.hexdigest()
