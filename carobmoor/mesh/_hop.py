"""What one node tells the owner node with a request that it sends on."""

from typing import Final

import msgspec

from carobmoor.routes import Kind

HOP_HEADER: Final = b'x-carobmoor-hop'


class Hop(msgspec.Struct, array_like=True, frozen=True):
    """The order to run a request on the owner's backend server."""

    service: str
    kind: Kind
    priority: int
    # What is left until the caller, or its route, gives up.
    left_ms: float
    # What is left of the route's target latency; below 0 once it has passed.
    target_left_ms: float
    # By which owners keep how long requests take.
    route: str
    # Whether it may be handed back while the server is slow.
    may_bounce: bool
    # Of what the first node kept of the body.
    body_digest: str


_decoder = msgspec.json.Decoder(Hop)


def encode_hop(hop: Hop) -> bytes:
    """Write an order as the content of its header."""
    return msgspec.json.encode(hop)


def decode_hop(content: str) -> Hop | None:
    """Read an order; `None` when it is absent or unreadable."""
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError:
        return None
