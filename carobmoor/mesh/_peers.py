"""State that a node keeps about other nodes and their backend servers."""

import asyncio
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Final, NamedTuple

from carobmoor.evacuation import EvacuationState
from carobmoor.mesh._datagrams import Load, NodeRecord
from carobmoor.routing import OTHER_REGION, SAME_REGION, SAME_ZONE, SuccessRate
from carobmoor.transport import Address

_SUCCESS_SMOOTHING: Final = 0.2
_FIRST_ROUND_TRIP_MS: Final = MappingProxyType(
    {SAME_ZONE: 0.4, SAME_REGION: 2.0, OTHER_REGION: 20.0},
)


class Peer:
    """Another node, or this one, as a candidate for requests."""

    def __init__(
        self, record: NodeRecord, distance: int, region: str = ''
    ) -> None:
        """Start with a record and without measurements."""
        self.record = record
        self.region = region
        self.distance = distance
        self.is_self = False
        self.round_trip_ms = _FIRST_ROUND_TRIP_MS[distance]
        self.load: Load | None = None
        self.load_received_at_s = float(0)
        # Requests of this node that the peer has not answered, now and when
        # it last reported its load.
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.success = SuccessRate(_SUCCESS_SMOOTHING)
        self.last_update_s = float(0)
        # It is avoided until then, unless there is no other candidate.
        self.avoided_until_s = float(0)
        # Done once the peer has answered the last query for its load.
        self.query_answered: asyncio.Future[None] | None = None
        self.queried_at_s: float = 0
        # Since when a query has been unanswered; infinite if none is.
        self.silent_since_s = float('inf')
        # The answer to its last query.
        self.answering: asyncio.Task[None] | None = None
        # The run of its server that said in an answer that it leaves.
        self.left_run: tuple[str, int] | None = None
        self.hello_sent_at_s = float(0)
        self.unanswered_hellos = 0

    @property
    def address(self) -> Address:
        """Address where it accepts requests."""
        return self.record.address

    @property
    def has_server(self) -> bool:
        """Whether a backend server beside it accepts requests."""
        if self.left_run == self.server_run or self.record.is_leaving:
            return False
        return bool(self.record.instance_id)

    @property
    def server_run(self) -> tuple[str, int]:
        """The id and the start of the server beside it."""
        return (self.record.instance_id, self.record.born_ms)

    @property
    def concurrency_limit(self) -> int:
        """Concurrency limit of its backend server, at least 1."""
        reported = 0 if self.load is None else self.load.concurrency_limit
        return max(1, reported or self.record.slots)

    def record_load(self, load: Load, now_s: float) -> None:
        """Record the load that the node reported."""
        self.silent_since_s = float('inf')
        if self.query_answered is not None and not self.query_answered.done():
            self.query_answered.set_result(None)
        self.load = load
        self.load_received_at_s = now_s
        self.in_flight_at_report = self.in_flight


class VersionReport(NamedTuple):
    """A version of the routes that another node reported, and when."""

    version: int = 0
    reported_at_s: float = 0


class Peers:
    """All known nodes, by their address."""

    def __init__(self, availability_zone: str, region: str) -> None:
        """Start empty, at a place from which distances are measured."""
        self._availability_zone = availability_zone
        self._region = region
        self._by_address: dict[Address, Peer] = {}
        self._by_ip: dict[str, Peer] = {}
        # The runs of servers that said in an answer that they leave, kept
        # also while their node is not known.
        self._left_runs: dict[Address, tuple[str, int]] = {}
        # Zones to whose servers nothing is sent.
        self.evacuation = EvacuationState()
        # The newest version that another node has reported.
        self.newest_report = VersionReport()
        # Sends a datagram to a node; set once the socket is open.
        self.send: Callable[[Peer, bytes], None] = _drop

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over a snapshot of the known nodes."""
        return iter(tuple(self._by_address.values()))

    @property
    def has_received_update(self) -> bool:
        """Whether an update from another node has been received."""
        return any(peer.last_update_s for peer in self._by_address.values())

    def for_service(self, service: str) -> list[Peer]:
        """Return the nodes whose server accepts requests of a service."""
        return [
            peer
            for peer in self._by_address.values()
            if peer.record.service == service and peer.has_server
        ]

    def find_by_ip(self, ip: str) -> Peer | None:
        """Return the node on the instance with this address, if known."""
        return self._by_ip.get(ip)

    def add_or_update(self, record: NodeRecord, region: str) -> Peer:
        """Record a node; measurements of another start are dropped."""
        known = self._by_address.get(record.address)
        if known is not None and _is_same_start(known.record, record):
            known.record = record
            return known
        peer = Peer(record, self._distance(record, region), region)
        peer.left_run = self._left_runs.get(record.address)
        if known is not None:
            peer.in_flight = known.in_flight
            peer.last_update_s = known.last_update_s
            peer.is_self = known.is_self
        self._by_address[record.address] = peer
        self._by_ip[record.ip] = peer
        return peer

    def record_leaving(
        self, address: Address, server_run: tuple[str, int]
    ) -> None:
        """Record that a run of the server beside a node leaves."""
        self._left_runs[address] = server_run
        peer = self._by_address.get(address)
        if peer is not None:
            peer.left_run = server_run

    def forget(self, peer: Peer) -> None:
        """Remove a node that is gone."""
        self._by_address.pop(peer.address, None)
        self._by_ip.pop(peer.record.ip, None)

    def _distance(self, record: NodeRecord, region: str) -> int:
        if record.availability_zone == self._availability_zone:
            return SAME_ZONE
        return SAME_REGION if region == self._region else OTHER_REGION


def _drop(peer: Peer, content: bytes) -> None:
    """Drop a datagram, since there is no socket yet."""


def _is_same_start(known: NodeRecord, reported: NodeRecord) -> bool:
    return (
        known.incarnation == reported.incarnation
        and known.instance_id == reported.instance_id
    )
