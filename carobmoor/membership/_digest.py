"""Digests over buckets of members, for comparing two nodes' knowledge."""

from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.membership._messages import Member, Standing

BUCKETS: Final = 256


def bucket_of(address: str) -> int:
    """Give the bucket in which a member is compared."""
    return xxhash.xxh32_intdigest(address.encode()) % BUCKETS


def member_digest(member: Member) -> int:
    """Digest what must agree between nodes, 32 bits.

    Suspicion passes by itself, and the dead are forgotten at different times
    on different nodes, so that neither takes part.
    """
    if member.standing is Standing.DEAD:
        return 0
    is_leaving = member.standing is Standing.LEAVING
    text = f'{member.address} {member.incarnation} {is_leaving:d}'
    return xxhash.xxh32_intdigest(text.encode())


def differing(ours: Sequence[int], theirs: Sequence[int]) -> Sequence[int]:
    """List the buckets whose digests differ."""
    return [
        bucket
        for bucket, (our, their) in enumerate(zip(ours, theirs, strict=True))
        if our != their
    ]
