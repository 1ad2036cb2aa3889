"""What nodes tell each other about nodes."""

import enum
from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec


class Standing(enum.IntEnum):
    """How a node stands; of one incarnation the higher standing wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """One node and the backend server beside it."""

    # Where the node listens, as `ip:port`; names the node.
    address: str
    service: str
    region: str
    availability_zone: str
    # Rises with each start of the node and with each refutation.
    incarnation: int
    standing: Standing


_decoder: Final = msgspec.json.Decoder(list[Member])


def decode_members(body: bytes) -> Sequence[Member]:
    """Read a list of members; raises `msgspec.DecodeError`."""
    return _decoder.decode(body)
