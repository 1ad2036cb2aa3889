"""Anti-entropy over HTTP: compare digests, exchange differing members."""

import random
from collections.abc import Sequence
from typing import Final

import msgspec
from result import Err

from carobmoor.membership._digest import bucket_of, differing
from carobmoor.membership._merge import corrections, merge
from carobmoor.membership._messages import (
    Member,
    Standing,
    SyncAnswer,
    decode_members,
)
from carobmoor.membership._signing import sign
from carobmoor.membership._state import MembershipState
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    parse_address,
    request_json,
)

SIGNATURE_HEADER: Final = b'x-carobmoor-signature'
_TIMEOUT_S: Final = 5
_DIGESTS_TARGET: Final = '/_carobmoor/gossip/digests'
_MEMBERS_TARGET: Final = '/_carobmoor/gossip/members'
_HELPERS_TARGET: Final = '/_carobmoor/gossip/helpers'
_MOST_HELPERS: Final = 8
_OK: Final = 200


class Peers:
    """Signed HTTP calls to the control paths of other nodes."""

    def __init__(self, pool: ConnectionPool, cluster_key: bytes) -> None:
        """Make calls through the pool, signed with the cluster key."""
        self._pool = pool
        self._cluster_key = cluster_key
        # Calls made, and the bytes of their bodies and answers without heads.
        self.calls = 0
        self.moved_bytes = 0

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
        told = await request_json(self._pool, address, request, _TIMEOUT_S)
        self.calls += 1
        self.moved_bytes += len(body)
        if isinstance(told, Err) or told.ok_value.head.status != _OK:
            return None
        self.moved_bytes += len(told.ok_value.body)
        return told.ok_value.body


async def ask_helpers(
    peers: Peers,
    address: Address,
    region: str,
) -> Sequence[Address] | None:
    """Ask a node for members to join through; `None` if the call fails."""
    asked = msgspec.json.encode(region)
    answered = await peers.post(address, _HELPERS_TARGET, asked)
    if answered is None:
        return None
    try:
        named = msgspec.json.decode(answered, type=list[str])
    except msgspec.DecodeError:
        return None
    return [parse_address(each) for each in named]


def answer_helpers(
    state: MembershipState,
    body: bytes,
    rng: random.Random,
) -> bytes:
    """Name some alive members, of the requested region if there are any.

    Nodes that start at once then don't all fetch the members from the same
    few first contacts. Raises `msgspec.DecodeError`.
    """
    region = msgspec.json.decode(body, type=str)
    living = [
        member
        for member in state.others()
        if member.standing is Standing.ALIVE and state.is_reachable(member)
    ]
    near = [member for member in living if member.region == region]
    named = near or living
    chosen = rng.sample(named, min(_MOST_HELPERS, len(named)))
    return msgspec.json.encode([member.address for member in chosen])


async def synchronise(
    state: MembershipState,
    peers: Peers,
    address: Address,
    now_s: float,
) -> bool:
    """Synchronise members with another node; return whether it answered.

    Only buckets that differ are sent. A dead member is sent only to a node
    that holds it in another status, so that forgotten ones don't circulate.
    """
    asked = msgspec.json.encode(state.digests)
    answered = await peers.post(address, _DIGESTS_TARGET, asked)
    if answered is None:
        return False
    try:
        theirs = msgspec.json.decode(answered, type=SyncAnswer)
    except msgspec.DecodeError:
        return False
    ours = _in_buckets(state, theirs.buckets)
    merge(state, theirs.members, now_s)
    better = (
        *_missing(ours, theirs.members),
        *corrections(state, theirs.members),
    )
    return await _tell(state, peers, address, better, now_s)


def answer_digests(state: MembershipState, body: bytes) -> bytes:
    """Answer the digests of another node; raises `msgspec.DecodeError`."""
    theirs = msgspec.json.decode(body, type=list[int])
    if len(theirs) != len(state.digests):
        raise msgspec.DecodeError(
            f'expected {len(state.digests)} digests, got {len(theirs)}',
        )
    buckets = differing(state.digests, theirs)
    return msgspec.json.encode(
        SyncAnswer(buckets, _in_buckets(state, buckets)),
    )


def answer_members(state: MembershipState, body: bytes, now_s: float) -> bytes:
    """Merge another node's members; answer with entries that override them.

    Raises `msgspec.DecodeError`.
    """
    told = decode_members(body)
    better = corrections(state, told)
    merge(state, told, now_s)
    return msgspec.json.encode(better)


async def _tell(
    state: MembershipState,
    peers: Peers,
    address: Address,
    members: Sequence[Member],
    now_s: float,
) -> bool:
    if not members:
        return True
    body = msgspec.json.encode(members)
    answered = await peers.post(address, _MEMBERS_TARGET, body)
    if answered is None:
        return False
    try:
        merge(state, decode_members(answered), now_s)
    except msgspec.DecodeError:
        return False
    return True


def _in_buckets(
    state: MembershipState,
    buckets: Sequence[int],
) -> Sequence[Member]:
    wanted = frozenset(buckets)
    if not wanted:
        return ()
    return [
        member
        for address, member in state.members.items()
        if member.standing is not Standing.DEAD and bucket_of(address) in wanted
    ]


def _missing(
    ours: Sequence[Member],
    theirs: Sequence[Member],
) -> Sequence[Member]:
    known = {member.address for member in theirs}
    return [member for member in ours if member.address not in known]
