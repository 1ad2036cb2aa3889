"""One attempt of a request: choosing an owner and sending to it."""

import time
from collections.abc import AsyncGenerator, Mapping, Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh._candidates import candidates_for
from carobmoor.mesh._choose import RequestProfile, choose, start_wait_ms
from carobmoor.mesh._datagrams import LOAD_HEADER, Load, decode_datagram
from carobmoor.mesh._evacuate import apply_reported
from carobmoor.mesh._fresh_loads import (
    refresh_loads,
    refresh_remote,
    update_own_load,
)
from carobmoor.mesh._hop import HOP_HEADER, Hop, encode_hop
from carobmoor.mesh._keys import remaining_validity_ms, replace_credentials
from carobmoor.mesh._owner import run_on_backend
from carobmoor.mesh._owner_request import (
    OwnerRequest,
    StreamedAnswer,
    failure_from_call,
)
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._server_reports import says_leaving
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    Failure,
    NotRun,
    Unknown,
    decode_failure,
)
from carobmoor.quarantine import digest_of_body
from carobmoor.routing import OTHER_REGION
from carobmoor.transport import (
    Answer,
    AnswerIncomplete,
    CallerLost,
    HeaderList,
    OutgoingRequest,
    end_to_end_headers,
    get_header,
    read_whole,
    send,
)

_MS_PER_S: Final = 1000
_BYTES_PER_KB: Final = 1000
_BITS_PER_BYTE: Final = 8
_BITS_PER_MBIT: Final = 1_000_000
_MAX_REFUSAL_BYTES: Final = 65_536
# How long a node that accepted no connection is avoided.
_AVOID_PERIOD_S: Final = 1.0
_CONNECT_TIMEOUT_S: Final = 0.4
# Declines of one request. More would delay it when every server is busy.
_MAX_DECLINES: Final = 3
# Estimated size of an answer and of the headers in both directions.
_OVERHEAD_BYTES: Final = 1500
# Cost of traffic to other regions, and to other zones of the own region,
# expressed as a delay.
_OTHER_REGION_MS: Final = 120
_OTHER_REGION_MS_PER_KB: Final = 4
_SAME_REGION_MS_PER_KB: Final = 0.5


class RemoteAnswer:
    """An answer from another node."""

    def __init__(self, answer: Answer) -> None:
        """Read its head; the body follows in chunks."""
        self.status = answer.head.status
        self.headers: HeaderList = [
            header
            for header in end_to_end_headers(answer.head.headers)
            if header[0] != LOAD_HEADER
        ]
        self._answer = answer

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the body."""
        return self._answer.chunks()

    def abandon(self, reason: str) -> None:
        """Close the connection, unless the body was read to the end."""
        self._answer.abandon(reason)


async def choose_peer(node: MeshNode, pending: PendingRequest) -> Peer | None:
    """Return the owner for the next attempt; `None` if none is left.

    Asks likely owners for their load first. Stores the inputs of the choice
    in the request, for the log.
    """
    answer_bytes = node.times.answer_sizes.typical_bytes(pending.route.name)
    body_bytes = max(0, pending.body.length_bytes)
    size_kb = (body_bytes + answer_bytes + _OVERHEAD_BYTES) / _BYTES_PER_KB
    profile = RequestProfile(
        pending.service,
        node.times.response_times.typical_ms(pending.route.name),
        _OTHER_REGION_MS + size_kb * _OTHER_REGION_MS_PER_KB,
        size_kb * _SAME_REGION_MS_PER_KB,
        pending.tried,
        pending.remaining_s * _MS_PER_S,
        _transfer_ms(node, answer_bytes),
    )
    candidates = candidates_for(node, pending)
    await refresh_loads(node, profile, candidates)
    chosen = _choose_now(node, profile, candidates)
    if chosen is not None and chosen.distance == OTHER_REGION:
        known = await refresh_remote(node, chosen, candidates)
        chosen = _choose_now(node, profile, known)
    if chosen is not None:
        pending.chosen = _inputs_of(chosen, time.monotonic())
    elif any(peer.address not in pending.tried for peer in candidates):
        # Only a rate limit excludes a candidate that was not tried.
        pending.record_failure(
            NotRun(Code.RATE_LIMITED, 'choice', pending.service)
        )
    elif not candidates and _has_evacuated(node, pending.service):
        pending.record_failure(
            NotRun(Code.EVACUATED, 'choice', pending.service)
        )
    return chosen


def _transfer_ms(node: MeshNode, answer_bytes: float) -> float:
    """Return how long an answer takes on the link of this instance."""
    link_mbit_per_s = node.settings.instance.link_mbit_per_s
    if not link_mbit_per_s:
        return 0
    bits_per_ms = link_mbit_per_s * _BITS_PER_MBIT / _MS_PER_S
    return answer_bytes * _BITS_PER_BYTE / bits_per_ms


def _has_evacuated(node: MeshNode, service: str) -> bool:
    """Return whether servers of a service are in evacuated zones."""
    return any(
        peer.record.availability_zone in node.peers.evacuation.zones
        for peer in node.peers.for_service(service)
    )


def _choose_now(
    node: MeshNode, profile: RequestProfile, candidates: Sequence[Peer]
) -> Peer | None:
    update_own_load(node)
    return choose(candidates, profile, time.monotonic(), node.rng)


def _inputs_of(peer: Peer, now_s: float) -> Mapping[str, object]:
    """Return what was known of an owner when it was chosen."""
    inputs: dict[str, object] = {
        'distance': peer.distance,
        'own_in_flight': peer.in_flight,
        'down': peer.avoided_until_s > now_s,
    }
    load = peer.load
    if load is not None:
        inputs['pace_percent'] = load.slowdown_percent
        inputs['base_percent'] = load.baseline_percent
        inputs['busy'] = load.running + load.waiting
        if load.start_interval_ms:
            inputs['start_wait_ms'] = int(start_wait_ms(peer, now_s))
        inputs['age_ms'] = int((now_s - peer.load_received_at_s) * _MS_PER_S)
    return inputs


async def attempt(
    node: MeshNode,
    pending: PendingRequest,
    peer: Peer,
) -> Result[StreamedAnswer, Failure]:
    """Send the request to one owner and return its answer or failure."""
    one_way_ms = peer.round_trip_ms / 2
    remaining_ms = pending.remaining_s * _MS_PER_S - one_way_ms
    if remaining_ms <= 0:
        return Err(NotRun(Code.DEADLINE_LAPSED, 'choice', str(peer.address)))
    key_valid_ms = remaining_validity_ms(node, pending)
    if key_valid_ms is not None and key_valid_ms <= 0:
        return Err(NotRun(Code.NOT_PROVEN, 'choice', str(peer.address)))
    hop = Hop(
        pending.service,
        pending.route.kind,
        pending.priority,
        remaining_ms,
        pending.target_remaining_s * _MS_PER_S - one_way_ms,
        pending.route.name,
        _may_decline(node, pending, peer),
        digest_of_body(pending.body.buffered),
        '' if pending.team is None else pending.team.name,
        key_valid_ms,
    )
    headers = _headers_of(node, pending)
    if pending.request.disconnected.done():
        # Its refusal may say that it did not run.
        raise CallerLost(pending.request.peer)
    pending.request.is_sent = True
    server_run = peer.server_run
    sent: Result[StreamedAnswer, Failure]
    peer.in_flight += 1
    try:
        if peer.is_self:
            sent = await run_on_backend(
                node, _owner_request(node, pending, hop, headers)
            )
        else:
            sent = await _send_to(node, pending, peer, hop, headers)
    finally:
        peer.in_flight -= 1
    if isinstance(sent, Ok) and says_leaving(node.names, sent.ok_value.headers):
        # Kept here too, since the owner may restart without knowing it.
        node.peers.record_leaving(peer.address, server_run)
    return sent


def _may_decline(node: MeshNode, pending: PendingRequest, peer: Peer) -> bool:
    """Return whether the owner may decline the request.

    It may if another owner in the region could take it instead. Streamed
    bodies can't be sent again.
    """
    if len(pending.declined) >= _MAX_DECLINES:
        return False
    if peer.address in pending.declined or pending.body.stream is not None:
        return False
    return any(
        other is not peer
        and other.distance != OTHER_REGION
        and other.address not in pending.tried
        and other.address not in pending.declined
        for other in candidates_for(node, pending)
    )


def _headers_of(
    node: MeshNode,
    pending: PendingRequest,
) -> Sequence[tuple[bytes, bytes]]:
    names = node.names
    managed = {names.caller_service, names.expected_instance, HOP_HEADER}
    headers = [
        header
        for header in end_to_end_headers(pending.request.headers)
        if header[0] not in managed
    ]
    headers.append((names.caller_service, node.settings.service.encode()))
    return replace_credentials(node, pending, headers)


def _owner_request(
    node: MeshNode,
    pending: PendingRequest,
    hop: Hop,
    headers: Sequence[tuple[bytes, bytes]],
) -> OwnerRequest:
    request = pending.request
    return OwnerRequest(
        hop,
        get_header(headers, node.names.request_id).encode('latin-1'),
        request.method,
        request.target.decode('latin-1'),
        headers,
        pending.body,
        request.disconnected,
        node.settings.ip,
    )


async def _send_to(
    node: MeshNode,
    pending: PendingRequest,
    peer: Peer,
    hop: Hop,
    headers: Sequence[tuple[bytes, bytes]],
) -> Result[StreamedAnswer, Failure]:
    outgoing = OutgoingRequest(
        pending.request.method,
        pending.request.target.decode('latin-1'),
        (*headers, (HOP_HEADER, encode_hop(hop))),
        pending.body.buffered,
        pending.body.stream,
    )
    started_s = time.monotonic()
    sent = await send(
        node.node_pool,
        peer.address,
        outgoing,
        pending.remaining_s,
        _CONNECT_TIMEOUT_S,
    )
    if isinstance(sent, Err):
        failure = failure_from_call(sent.err_value)
        _record_lost_call(node, peer, failure, started_s)
        return Err(failure)
    answer = sent.ok_value
    load = decode_datagram(get_header(answer.head.headers, LOAD_HEADER))
    if isinstance(load, Load):
        peer.record_load(load, time.monotonic())
        apply_reported(node, load, str(peer.address))
    if not get_header(answer.head.headers, OUTCOME_HEADER.encode()):
        return Ok(RemoteAnswer(answer))
    return Err(await _read_refusal(node, pending, answer))


def _record_lost_call(
    node: MeshNode,
    peer: Peer,
    failure: Failure,
    started_s: float,
) -> None:
    now_s = time.monotonic()
    # Other pooled connections to it may be broken as well.
    node.node_pool.close_idle(peer.address)
    if isinstance(failure, NotRun) and peer.last_update_s < started_s:
        peer.avoided_until_s = now_s + _AVOID_PERIOD_S
    peer.success.record_outcome(False, now_s)


async def _read_refusal(
    node: MeshNode,
    pending: PendingRequest,
    answer: Answer,
) -> Failure:
    headers = pending.request.headers
    request_id = get_header(headers, node.names.request_id)
    peer = str(answer.address)
    try:
        body = await read_whole(answer, _MAX_REFUSAL_BYTES)
    except AnswerIncomplete as broken:
        return Unknown('answer', peer, broken.failure.reason)
    return decode_failure(body, request_id, peer)
