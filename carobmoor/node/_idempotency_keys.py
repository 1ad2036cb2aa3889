"""Requests with an idempotency key, from callers without the library."""

import time
import uuid
from typing import Final, NamedTuple

import msgspec
import xxhash
from result import Err, Ok, Result

from carobmoor.client import REQUEST_ID_HEADER, Call
from carobmoor.idempotency import (
    Claim,
    StoredResult,
    claim_key,
    decode_claim,
    release_key,
    row_key_of,
    store_result,
)
from carobmoor.node._answers import end_to_end_headers, relay_answer
from carobmoor.node._body import BodyReadError
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._state import NodeState
from carobmoor.node._ticketed_run import AnswerRecorder, send_kept_answer
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.store import Row
from carobmoor.tickets import StoredAnswer
from carobmoor.transport import get_header, parse_address

_KEY_HEADER: Final = b'idempotency-key'
_MAX_BODY_BYTES: Final = 1_048_576
_MAX_ANSWER_BYTES: Final = 16_384
_MAX_CLAIM_ATTEMPTS: Final = 3
_STEP: Final = 'idempotency'
_MS_PER_S: Final = 1000
# Another owner may accept these; other refusals would recur.
_RETRIABLE_CODES: Final = frozenset(
    (Code.LEAVING, Code.QUEUE_FULL, Code.NOT_READY, Code.DEADLINE_UNREACHABLE),
)


class ClaimedRow(NamedTuple):
    """The row of an idempotency key and the claim in it."""

    row: Row
    claim: Claim


def idempotency_key_of(pending: PendingRequest) -> str:
    """Return the idempotency key of a request, or '' if it is not needed.

    Repeatable requests need none. For calls by the client library and other
    requests with a ticket, the owner already prevents a second run.
    """
    context = pending.context
    if context.owner or context.is_repeatable or context.ticket is not None:
        return ''
    return get_header(pending.headers, _KEY_HEADER)


async def serve_with_idempotency_key(
    node: NodeState, pending: PendingRequest
) -> Failure | None:
    """Claim the key, then send the request with the ticket in the claim."""
    pending.is_ticket_decided = True
    body = await _read_body(node, pending)
    if isinstance(body, NotRun):
        return body
    failure: Failure | None = None
    for _ in range(_MAX_CLAIM_ATTEMPTS):
        failure = await _claim_and_send(node, pending, body)
        if failure is None or failure.code not in _RETRIABLE_CODES:
            break
    return failure


async def _claim_and_send(
    node: NodeState,
    pending: PendingRequest,
    body: bytes,
) -> Failure | None:
    fingerprint = _request_fingerprint(pending, body)
    claimed = await _claim_key(node, pending, fingerprint)
    if isinstance(claimed, Err):
        return claimed.err_value
    claimed_row = claimed.ok_value
    claim = claimed_row.claim
    if (claim.service, claim.fingerprint) != (
        pending.context.service,
        fingerprint,
    ):
        detail = 'the idempotency key was used for a different request'
        return NotRun(Code.CONFLICT, _STEP, node.address, detail)
    if claim.ending is not None:
        return await _replay_answer(node, pending, claim.ending)
    return await _send_claimed(node, pending, body, claimed_row)


async def _claim_key(
    node: NodeState,
    pending: PendingRequest,
    fingerprint: str,
) -> Result[ClaimedRow, Failure]:
    context = pending.context
    request_id = uuid.uuid4().hex
    minted = await node.dispatcher.choose_and_mint(context.service, request_id)
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
    row_key = row_key_of(context.caller, idempotency_key_of(pending))
    claimed = await claim_key(node.store, row_key, claim)
    if isinstance(claimed, Err):
        store_failure = claimed.err_value
        return Err(
            NotRun(
                Code.STORE_UNAVAILABLE,
                _STEP,
                store_failure.peer,
                store_failure.detail,
            )
        )
    row = claimed.ok_value
    try:
        return Ok(ClaimedRow(row, decode_claim(row.content)))
    except msgspec.DecodeError as error:
        # Another writer's: whether the request of this key ran is not known.
        return Err(Unknown(_STEP, row.key, f'claim unreadable: {error}'))


async def _send_claimed(
    node: NodeState,
    pending: PendingRequest,
    body: bytes,
    claimed_row: ClaimedRow,
) -> Failure | None:
    claim = claimed_row.claim
    call = Call(
        claim.service,
        pending.context.method,
        pending.context.target,
        body,
        headers=_forwarded_headers(pending),
        rank=pending.context.rank,
        timeout_ms=max(1, int(pending.remaining_s * _MS_PER_S)),
        request_id=claim.request_id,
        depth=pending.context.depth,
        caller=pending.context.caller,
        ticket=claim.ticket,
    )
    owner = parse_address(claim.ticket.owner)
    sent = await node.dispatcher.send_attempt(call, owner, pending.deadline_s)
    if isinstance(sent, Err):
        if isinstance(sent.err_value, NotRun):
            await release_key(node.store, claimed_row.row)
        return sent.err_value
    recorder = AnswerRecorder(pending.send, _MAX_ANSWER_BYTES)
    extra_headers = ((REQUEST_ID_HEADER, pending.context.request_id.encode()),)
    await relay_answer(
        recorder.send, sent.ok_value, extra_headers, pending.progress_floor
    )
    ending = _result_of(recorder, sent.ok_value.head.status)
    await store_result(
        node.store,
        claimed_row.row,
        claim._replace(ending=ending),
    )
    return None


async def _replay_answer(
    node: NodeState,
    pending: PendingRequest,
    ending: StoredResult,
) -> Failure | None:
    if ending.body is None:
        detail = 'the request has run; its answer was too large to keep'
        return Unknown(_STEP, node.address, detail, Code.ALREADY_RUN)
    kept = StoredAnswer(ending.status, ending.headers, ending.body)
    await send_kept_answer(pending, kept)
    return None


async def _read_body(
    node: NodeState,
    pending: PendingRequest,
) -> bytes | NotRun:
    body = bytearray(pending.body.first_chunk)
    try:
        while (
            pending.body.remaining_chunks is not None
            and len(body) <= _MAX_BODY_BYTES
        ):
            body.extend(await anext(pending.body.remaining_chunks))
    except StopAsyncIteration:
        return bytes(body)
    except BodyReadError as error:
        return NotRun(error.code, 'read_request', node.address)
    if len(body) > _MAX_BODY_BYTES:
        detail = f'body exceeds {_MAX_BODY_BYTES} bytes, the limit with a key'
        return NotRun(Code.BODY_TOO_LARGE, _STEP, node.address, detail)
    return bytes(body)


def _result_of(recorder: AnswerRecorder, status: int) -> StoredResult:
    kept = recorder.kept_answer()
    if kept is None:
        return StoredResult(status, (), None)
    return StoredResult(kept.status, kept.headers, kept.body)


def _forwarded_headers(pending: PendingRequest) -> list[tuple[bytes, bytes]]:
    dropped = (b'host', b'content-length')
    return [
        (name, content)
        for name, content in end_to_end_headers(pending.headers)
        if name not in dropped
    ]


def _request_fingerprint(pending: PendingRequest, body: bytes) -> str:
    context = pending.context
    digest = xxhash.xxh3_128(f'{context.method} {context.target} '.encode())
    digest.update(body)
    return digest.hexdigest()
