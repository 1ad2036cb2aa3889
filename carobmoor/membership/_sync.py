"""Anti-entropy over HTTP: compare digests, exchange differing members."""

import random
from collections.abc import Sequence
from typing import Final

import msgspec
from result import Err

from carobmoor.decoding import decode_json
from carobmoor.membership._digest import bucket_of, differing_buckets
from carobmoor.membership._merge import corrections, merge
from carobmoor.membership._messages import (
    Member,
    MemberStatus,
    SyncAnswer,
    decode_members,
    read_address,
)
from carobmoor.membership._signing import sign
from carobmoor.membership._state import MembershipState
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)

SIGNATURE_HEADER: Final = b'x-carobmoor-signature'
_TIMEOUT_S: Final = 5
_DIGESTS_TARGET: Final = '/_carobmoor/gossip/digests'
_MEMBERS_TARGET: Final = '/_carobmoor/gossip/members'
_HELPERS_TARGET: Final = '/_carobmoor/gossip/helpers'
_MAX_HELPERS: Final = 8
_OK: Final = 200


class PeerClient:
    """Signed HTTP calls to the control paths of other nodes."""

    def __init__(self, pool: ConnectionPool, cluster_key: bytes) -> None:
        """Make calls through the pool, signed with the cluster key."""
        self._pool = pool
        self._cluster_key = cluster_key
        # Calls made, and the bytes of their bodies and answers without heads.
        self.calls = 0
        self.transferred_bytes = 0

    async def post(
        self,
        address: Address,
        target: str,
        body: bytes,
    ) -> bytes | None:
        """Send a signed body; return the answer's, or `None` on failure."""
        tag = sign(self._cluster_key, body).hex().encode()
        headers = (
            (b'content-type', b'application/json'),
            (SIGNATURE_HEADER, tag),
        )
        request = OutgoingRequest('POST', target, headers, body)
        response = await request_json(self._pool, address, request, _TIMEOUT_S)
        self.calls += 1
        self.transferred_bytes += len(body)
        if isinstance(response, Err) or response.ok_value.head.status != _OK:
            return None
        self.transferred_bytes += len(response.ok_value.body)
        return response.ok_value.body


async def request_helpers(
    peers: PeerClient,
    address: Address,
    region: str,
) -> Sequence[Address] | None:
    """Ask a node for members to join through; `None` if the call fails."""
    request_body = msgspec.json.encode(region)
    response_body = await peers.post(address, _HELPERS_TARGET, request_body)
    if response_body is None:
        return None
    try:
        addresses = decode_json(response_body, list[str])
    except msgspec.DecodeError:
        return None
    read = [read_address(each) for each in addresses]
    return [each for each in read if each is not None]


def answer_helpers(
    state: MembershipState,
    body: bytes,
    rng: random.Random,
) -> bytes:
    """Name some alive members, of the requested region if there are any.

    Nodes that start at once then don't all fetch the members from the same
    few first contacts. Raises `msgspec.DecodeError`.
    """
    region = decode_json(body, str)
    alive = [
        member
        for member in state.others()
        if member.status is MemberStatus.ALIVE and state.is_reachable(member)
    ]
    same_region = [member for member in alive if member.region == region]
    candidates = same_region or alive
    chosen = rng.sample(candidates, min(_MAX_HELPERS, len(candidates)))
    return msgspec.json.encode([member.address for member in chosen])


async def synchronise(
    state: MembershipState,
    peers: PeerClient,
    address: Address,
    now_s: float,
) -> bool:
    """Synchronise members with another node; return whether it answered.

    Only buckets that differ are sent. A dead member is sent only to a node
    that holds it in another status, so that forgotten ones don't circulate.
    """
    request_body = msgspec.json.encode(state.digests)
    response_body = await peers.post(address, _DIGESTS_TARGET, request_body)
    if response_body is None:
        return False
    try:
        theirs = decode_json(response_body, SyncAnswer)
    except msgspec.DecodeError:
        return False
    ours = _members_in_buckets(state, theirs.buckets)
    merge(state, theirs.members, now_s)
    overriding = (
        *_missing(ours, theirs.members),
        *corrections(state, theirs.members),
    )
    return await _send_members(state, peers, address, overriding, now_s)


def answer_digests(state: MembershipState, body: bytes) -> bytes:
    """Answer the digests of another node; raises `msgspec.DecodeError`."""
    theirs = decode_json(body, list[int])
    if len(theirs) != len(state.digests):
        raise msgspec.DecodeError(
            f'expected {len(state.digests)} digests, got {len(theirs)}',
        )
    buckets = differing_buckets(state.digests, theirs)
    return msgspec.json.encode(
        SyncAnswer(buckets, _members_in_buckets(state, buckets)),
    )


def answer_members(state: MembershipState, body: bytes, now_s: float) -> bytes:
    """Merge another node's members; answer with entries that override them.

    Raises `msgspec.DecodeError`.
    """
    received = decode_members(body)
    overriding = corrections(state, received)
    merge(state, received, now_s)
    return msgspec.json.encode(overriding)


async def _send_members(
    state: MembershipState,
    peers: PeerClient,
    address: Address,
    members: Sequence[Member],
    now_s: float,
) -> bool:
    if not members:
        return True
    body = msgspec.json.encode(members)
    response_body = await peers.post(address, _MEMBERS_TARGET, body)
    if response_body is None:
        return False
    try:
        merge(state, decode_members(response_body), now_s)
    except msgspec.DecodeError:
        return False
    return True


def _members_in_buckets(
    state: MembershipState,
    buckets: Sequence[int],
) -> Sequence[Member]:
    wanted = frozenset(buckets)
    if not wanted:
        return ()
    return [
        member
        for address, member in state.members.items()
        if member.status is not MemberStatus.DEAD
        and bucket_of(address) in wanted
    ]


def _missing(
    ours: Sequence[Member],
    theirs: Sequence[Member],
) -> Sequence[Member]:
    known = {member.address for member in theirs}
    return [member for member in ours if member.address not in known]
