"""Datagrams between nodes: their records, and the load of their servers."""

import ipaddress
import re
import time
from typing import Final

import msgspec

from carobmoor.allotments import Ask, Grant
from carobmoor.decoding import Count, decoder_of
from carobmoor.transport import Address

_MAX_PORT: Final = 65_535
# How far ahead of this instance's clock the start of a server may lie.
_MAX_CLOCK_LEAD_MS: Final = 86_400_000
_MS_PER_S: Final = 1000
# Names of instances are sent in headers.
_INSTANCE_ID: Final = re.compile('[!-~]{0,200}')
# Header in which an owner reports its load on its answers.
LOAD_HEADER: Final = b'x-carobmoor-hop-load'


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """Describes a node and the backend server beside it."""

    ip: str
    port: int
    # Differs at each start of the node.
    incarnation: Count
    # Incremented with each change of the fields below.
    revision: Count
    availability_zone: str
    service: str
    # Empty while no backend server has announced itself.
    instance_id: str = ''
    slots: Count = 0
    is_leaving: bool = False
    # Start of the backend server in Unix milliseconds; 0 if unknown.
    born_ms: Count = 0

    @property
    def address(self) -> Address:
        """Address where the node accepts requests from other nodes."""
        return Address(self.ip, self.port)


class Hello(msgspec.Struct, array_like=True, frozen=True, tag='h'):
    """The sender's record; may ask for the receiver's record in reply."""

    record: NodeRecord
    # The version of the routes in force at the sender.
    version: Count
    wants_reply: bool
    # Monotonic clock of the asker, copied into the reply so that it can
    # measure the round trip.
    sent_us: Count = 0
    echoed_us: Count = 0
    # The evacuated zones, as of a version of the store.
    evacuation_version: Count = 0
    evacuated_zones: tuple[str, ...] = ()


class Load(msgspec.Struct, array_like=True, frozen=True, tag='l'):
    """The load of a node's backend server at this moment."""

    incarnation: Count
    revision: Count
    version: Count
    running: Count
    waiting: Count
    # Slowdown: service time in percent of the typical one.
    slowdown_percent: Count
    # Baseline slowdown, the lowest recent one; an excess over it is likely to
    # pass soon.
    baseline_percent: Count
    # Average duration of slow periods.
    slow_period_ms: Count
    success_permille: Count
    # Whether the store answered the node's last call for the routes.
    has_store: bool = True
    # Concurrency limit of the backend server; 0 if unknown.
    concurrency_limit: Count = 0
    # Time between two starts under the server's rate limit; 0 without one.
    start_interval_ms: Count = 0
    # Time until the limit allows the start of one more request.
    start_wait_ms: Count = 0
    # The evacuated zones, as of a version of the store.
    evacuation_version: Count = 0
    evacuated_zones: tuple[str, ...] = ()


class Query(msgspec.Struct, array_like=True, frozen=True, tag='q'):
    """Asks for the receiver's load."""


class FreshnessQuery(msgspec.Struct, array_like=True, frozen=True, tag='f'):
    """Asks how fresh the receiver's configuration is."""

    # Differs between questions and between starts of the asker.
    question: Count


class FreshnessAnswer(msgspec.Struct, array_like=True, frozen=True, tag='a'):
    """The sender's proof that its configuration was the newest."""

    question: Count
    # No later version had been acknowledged that long before the answer.
    version: Count
    age_ms: Count


Datagram = Hello | Load | Query | FreshnessQuery | FreshnessAnswer | Ask | Grant

_decode: Final = decoder_of(Datagram)
_record_decode: Final = decoder_of(NodeRecord)


def is_outdated(record: NodeRecord, known: NodeRecord) -> bool:
    """Return whether a record is older than the known one of the same start.

    Records of other starts can't be compared, since clocks may jump.
    """
    is_same_start = record.incarnation == known.incarnation
    return is_same_start and record.revision < known.revision


def is_plausible_start(born_ms: int) -> bool:
    """Return whether a server may have started then, in Unix milliseconds.

    A later start would make all check-ins of the server look outdated.
    """
    return born_ms <= time.time() * _MS_PER_S + _MAX_CLOCK_LEAD_MS


def is_plausible_id(instance_id: str) -> bool:
    """Return whether an instance id can be sent in a header."""
    return _INSTANCE_ID.fullmatch(instance_id) is not None


def is_plausible(record: NodeRecord) -> bool:
    """Return whether a record can be used.

    Other writers may use the store's table and the nodes' port.
    """
    try:
        ipaddress.IPv4Address(record.ip)
    except ValueError:
        return False
    return (
        0 < record.port <= _MAX_PORT
        and is_plausible_start(record.born_ms)
        and is_plausible_id(record.instance_id)
    )


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return msgspec.json.encode(datagram)


def decode_datagram(content: bytes | str) -> Datagram | None:
    """Decode a datagram; return `None` if it is malformed."""
    try:
        datagram = _decode(content)
    except msgspec.DecodeError:
        return None
    if isinstance(datagram, Hello) and not is_plausible(datagram.record):
        return None
    return datagram


def encode_record(record: NodeRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> NodeRecord | None:
    """Decode a stored record; return `None` if it is malformed."""
    try:
        record = _record_decode(content)
    except msgspec.DecodeError:
        return None
    return record if is_plausible(record) else None
