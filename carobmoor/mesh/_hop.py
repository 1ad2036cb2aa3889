"""The header that a node adds to a request that it sends to an owner."""

from typing import Final

import msgspec

from carobmoor.decoding import Count, decoder_of
from carobmoor.routes import RouteKind

HOP_HEADER: Final = b'x-carobmoor-hop'


class Hop(msgspec.Struct, array_like=True, frozen=True):
    """Parameters for running a request on the owner's backend server."""

    service: str
    kind: RouteKind
    priority: Count
    # Time until the deadline of the caller or the route's timeout.
    remaining_ms: float
    # Time until the route's target latency; negative once it has passed.
    target_remaining_ms: float
    # Route name; owners keep typical service times by it.
    route: str
    # Whether the owner may decline it while its server is slow.
    may_decline: bool
    # Identifies the body to quarantine, computed by the sending node.
    body_digest: str
    # Team whose key the caller sent; empty for anonymous callers.
    team: str = ''
    # How long it may still be started by its key; `None` if not limited.
    key_valid_ms: float | None = None


_decode: Final = decoder_of(Hop)


def encode_hop(hop: Hop) -> bytes:
    """Encode the content of the header."""
    return msgspec.json.encode(hop)


def decode_hop(content: str) -> Hop | None:
    """Decode the content of the header; `None` if absent or malformed."""
    try:
        return _decode(content)
    except msgspec.DecodeError:
        return None
