"""What nodes tell each other about nodes."""

import enum
from collections.abc import Sequence
from typing import Annotated, Final, NamedTuple

import msgspec


class Standing(enum.IntEnum):
    """How a node stands; of one incarnation the higher standing wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Zone(NamedTuple):
    """One availability zone of a region."""

    region: str
    availability_zone: str


_PART: Final = r'(25[0-5]|2[0-4]\d|1?\d?\d)'
_PORT: Final = r'(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]?\d{1,4})'
# Nothing else reaches a socket or another node's memory.
_ADDRESS: Final = msgspec.Meta(pattern=rf'^({_PART}\.){{3}}{_PART}:{_PORT}$')

NodeAddress = Annotated[str, _ADDRESS]


class Member(NamedTuple):
    """One node and the backend server beside it."""

    # Where the node listens, as `ip:port`; names the node.
    address: NodeAddress
    service: str
    region: str
    availability_zone: str
    # Rises with each start of the node and with each refutation.
    incarnation: int
    standing: Standing

    @property
    def zone(self) -> Zone:
        """The availability zone with its region."""
        return Zone(self.region, self.availability_zone)


class Kind(enum.IntEnum):
    """What a datagram asks for."""

    # Answer with an `ACK` of the same number.
    PROBE = 0
    ACK = 1
    # Probe `target` and pass its `ACK` on, or send a `NACK`.
    ASK = 2
    NACK = 3
    # Carries news only.
    NEWS = 4


class Datagram(NamedTuple):
    """One message between nodes; written as a JSON array."""

    kind: Kind
    # Matches an answer to its probe; chosen by the prober.
    number: int
    # The sender as `ip:port`.
    sender: NodeAddress
    # The member to probe in an `ASK`, else empty.
    target: str
    # The configuration version in force at the sender.
    version: int
    news: Sequence[Member] = ()


class Outgoing(NamedTuple):
    """A datagram to send; news is added when it is written."""

    address: str
    kind: Kind
    number: int = 0
    target: str = ''


class SyncAnswer(NamedTuple):
    """The buckets that differed, and their members at the answering node."""

    buckets: Sequence[int]
    members: Sequence[Member]


_members_decoder: Final = msgspec.json.Decoder(list[Member])
_datagram_decoder: Final = msgspec.json.Decoder(Datagram)


def decode_members(body: bytes) -> Sequence[Member]:
    """Read a list of members; raises `msgspec.DecodeError`."""
    return _members_decoder.decode(body)


def decode_datagram(body: bytes) -> Datagram:
    """Read a datagram; raises `msgspec.DecodeError`."""
    return _datagram_decoder.decode(body)
