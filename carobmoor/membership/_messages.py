"""The messages that nodes exchange about members."""

import enum
import re
from collections.abc import Sequence
from typing import Annotated, Final, NamedTuple

import msgspec

from carobmoor.decoding import Count, decoder_of
from carobmoor.transport import Address, parse_address


class MemberStatus(enum.IntEnum):
    """Status of a member; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Zone(NamedTuple):
    """An availability zone and its region."""

    region: str
    availability_zone: str


_OCTET: Final = r'(25[0-5]|2[0-4]\d|1?\d?\d)'
_PORT: Final = r'(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]?\d{1,4})'
# Checked when decoding, so that no other text reaches a socket or the state.
_ADDRESS_PATTERN: Final = rf'^({_OCTET}\.){{3}}{_OCTET}:{_PORT}$'
_ADDRESS: Final = msgspec.Meta(pattern=_ADDRESS_PATTERN)

NodeAddress = Annotated[str, _ADDRESS]


class Member(NamedTuple):
    """A node and the backend server beside it."""

    # Where the node listens, as `ip:port`; identifies the node.
    address: NodeAddress
    service: str
    region: str
    availability_zone: str
    # Rises with each start, refutation and announced status of the node.
    incarnation: Count
    status: MemberStatus

    @property
    def zone(self) -> Zone:
        """The availability zone with its region."""
        return Zone(self.region, self.availability_zone)


class DatagramKind(enum.IntEnum):
    """The purpose of a datagram."""

    # Requests an `ACK` with the same `probe_id`.
    PROBE = 0
    ACK = 1
    # Requests a probe of `target`, answered by its relayed `ACK` or a `NACK`.
    INDIRECT_PROBE = 2
    NACK = 3
    # Carries updates only.
    UPDATES = 4


class Datagram(NamedTuple):
    """A message between nodes; encoded as a JSON array."""

    kind: DatagramKind
    # Matches an answer to its probe; chosen by the prober.
    probe_id: Count
    # Address of the sender, as `ip:port`.
    sender: NodeAddress
    # The member to probe in an `INDIRECT_PROBE`, or that answered in a relayed
    # `ACK`.
    target: str
    # The configuration version in force at the sender.
    version: Count
    updates: Sequence[Member] = ()


class OutgoingMessage(NamedTuple):
    """A datagram to send; updates are added when it is encoded."""

    address: str
    kind: DatagramKind
    probe_id: int = 0
    target: str = ''


class SyncAnswer(NamedTuple):
    """The buckets that differ and the answering node's members in them."""

    buckets: Sequence[int]
    members: Sequence[Member]


_members_decode: Final = decoder_of(list[Member])
_datagram_decode: Final = decoder_of(Datagram)


def read_address(text: str) -> Address | None:
    """Parse the address of a node; `None` if it is none."""
    if not re.fullmatch(_ADDRESS_PATTERN, text):
        return None
    return parse_address(text)


def decode_members(body: bytes) -> Sequence[Member]:
    """Decode a list of members; raises `msgspec.DecodeError`."""
    return _members_decode(body)


def decode_datagram(body: bytes) -> Datagram:
    """Decode a datagram; raises `msgspec.DecodeError`."""
    return _datagram_decode(body)
