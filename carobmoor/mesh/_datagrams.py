"""Datagrams between nodes: who a node is, and how loaded its server."""

from typing import Final

import msgspec

from carobmoor.transport import Address

# Carries the load of the owner on its answers.
LOAD_HEADER: Final = b'x-carobmoor-hop-load'


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """A node and the backend server beside it."""

    ip: str
    port: int
    # Another one at each start of the node.
    incarnation: int
    # Grows with each change of what follows.
    revision: int
    availability_zone: str
    service: str
    # Empty while no backend server has announced itself.
    instance_id: str = ''
    slots: int = 0
    is_leaving: bool = False
    # The Unix millisecond of the backend server's start; 0 if unknown.
    born_ms: int = 0

    @property
    def address(self) -> Address:
        """Where the node takes requests of other nodes."""
        return Address(self.ip, self.port)


class Hello(msgspec.Struct, array_like=True, frozen=True, tag='h'):
    """A node tells its record, and asks for the receiver's in return."""

    record: NodeRecord
    # The version of the routes that it has in force.
    version: int
    wants_reply: bool
    # Copied into the reply, so that the asker learns the round trip.
    sent_us: int = 0
    echoed_us: int = 0


class Load(msgspec.Struct, array_like=True, frozen=True, tag='l'):
    """The load of a node's backend server at this moment."""

    incarnation: int
    revision: int
    version: int
    running: int
    waiting: int
    # How long work takes, in percent of what is usual.
    pace_percent: int
    # The best pace of late; what is beyond it is likely to pass soon.
    base_percent: int
    # How long slow moments last, on average.
    slow_spell_ms: int
    success_permille: int
    # Whether its last call to the store was answered.
    has_store: bool = True
    # How many requests its server gets at once; 0 if unknown.
    room: int = 0


Datagram = Hello | Load

_decoder = msgspec.json.Decoder(Datagram)
_record_decoder = msgspec.json.Decoder(NodeRecord)


def encode_datagram(datagram: Datagram) -> bytes:
    """Write a datagram."""
    return msgspec.json.encode(datagram)


def decode_datagram(content: bytes | str) -> Datagram | None:
    """Read a datagram; `None` when it is unreadable."""
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError:
        return None


def encode_record(record: NodeRecord) -> bytes:
    """Write a record as the store keeps it."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> NodeRecord | None:
    """Read a record; `None` when it is unreadable."""
    try:
        return _record_decoder.decode(content)
    except msgspec.DecodeError:
        return None
