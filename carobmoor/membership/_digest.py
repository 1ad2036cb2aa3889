"""Digests over buckets of members, to find where two nodes differ."""

from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.membership._messages import Member, MemberStatus

BUCKET_COUNT: Final = 256


def bucket_of(address: str) -> int:
    """Return the bucket whose digest covers a member."""
    return xxhash.xxh32_intdigest(address.encode()) % BUCKET_COUNT


def member_digest(member: Member) -> int:
    """Return a 32-bit digest of what must agree between nodes.

    Suspicion is left out because it ends by itself, and dead members because
    nodes forget them at different times.
    """
    if member.status is MemberStatus.DEAD:
        return 0
    is_leaving = member.status is MemberStatus.LEAVING
    text = f'{member.address} {member.incarnation} {is_leaving:d}'
    return xxhash.xxh32_intdigest(text.encode())


def differing_buckets(
    ours: Sequence[int], theirs: Sequence[int]
) -> Sequence[int]:
    """Return the buckets whose digests differ."""
    return [
        bucket
        for bucket, (our, their) in enumerate(zip(ours, theirs, strict=True))
        if our != their
    ]
