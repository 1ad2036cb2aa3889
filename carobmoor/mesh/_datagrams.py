"""Datagrams between nodes: their records, and the load of their servers."""

import ipaddress
from typing import Final

import msgspec

from carobmoor.transport import Address

_MAX_PORT: Final = 65_535
# Header in which an owner reports its load on its answers.
LOAD_HEADER: Final = b'x-carobmoor-hop-load'


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """Describes a node and the backend server beside it."""

    ip: str
    port: int
    # Differs at each start of the node.
    incarnation: int
    # Incremented with each change of the fields below.
    revision: int
    availability_zone: str
    service: str
    # Empty while no backend server has announced itself.
    instance_id: str = ''
    slots: int = 0
    is_leaving: bool = False
    # Start of the backend server in Unix milliseconds; 0 if unknown.
    born_ms: int = 0

    @property
    def address(self) -> Address:
        """Address where the node accepts requests from other nodes."""
        return Address(self.ip, self.port)


class Hello(msgspec.Struct, array_like=True, frozen=True, tag='h'):
    """The sender's record; may ask for the receiver's record in reply."""

    record: NodeRecord
    # The version of the routes in force at the sender.
    version: int
    wants_reply: bool
    # Monotonic clock of the asker, copied into the reply so that it can
    # measure the round trip.
    sent_us: int = 0
    echoed_us: int = 0


class Load(msgspec.Struct, array_like=True, frozen=True, tag='l'):
    """The load of a node's backend server at this moment."""

    incarnation: int
    revision: int
    version: int
    running: int
    waiting: int
    # Slowdown: service time in percent of the typical one.
    slowdown_percent: int
    # Baseline slowdown, the lowest recent one; an excess over it is likely to
    # pass soon.
    baseline_percent: int
    # Average duration of slow periods.
    slow_period_ms: int
    success_permille: int
    # Whether the store answered the node's last call for the routes.
    has_store: bool = True
    # Concurrency limit of the backend server; 0 if unknown.
    concurrency_limit: int = 0
    # Time between two starts under the server's rate limit; 0 without one.
    start_interval_ms: int = 0
    # Time until the limit allows the start of one more request.
    start_wait_ms: int = 0


class Query(msgspec.Struct, array_like=True, frozen=True, tag='q'):
    """Asks for the receiver's load."""


Datagram = Hello | Load | Query

_decoder = msgspec.json.Decoder(Datagram)
_record_decoder = msgspec.json.Decoder(NodeRecord)


def is_outdated(record: NodeRecord, known: NodeRecord) -> bool:
    """Return whether a record is older than the known one of the same start.

    Records of other starts can't be compared, since clocks may jump.
    """
    is_same_start = record.incarnation == known.incarnation
    return is_same_start and record.revision < known.revision


def has_address(record: NodeRecord) -> bool:
    """Return whether a record names an address that can be sent to.

    Other writers may use the store's table and the nodes' port.
    """
    try:
        ipaddress.IPv4Address(record.ip)
    except ValueError:
        return False
    return 0 < record.port <= _MAX_PORT


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return msgspec.json.encode(datagram)


def decode_datagram(content: bytes | str) -> Datagram | None:
    """Decode a datagram; return `None` if it is malformed."""
    try:
        datagram = _decoder.decode(content)
    except msgspec.DecodeError:
        return None
    if isinstance(datagram, Hello) and not has_address(datagram.record):
        return None
    return datagram


def encode_record(record: NodeRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> NodeRecord | None:
    """Decode a stored record; return `None` if it is malformed."""
    try:
        record = _record_decoder.decode(content)
    except msgspec.DecodeError:
        return None
    return record if has_address(record) else None
