"""Gossip between nodes by datagrams: membership, load, route versions."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

from carobmoor.allotments import Ask, Grant
from carobmoor.mesh._allotments import AllotmentReview, receive_allotment
from carobmoor.mesh._datagrams import (
    Hello,
    Load,
    NodeRecord,
    Query,
    decode_datagram,
    encode_datagram,
    is_outdated,
)
from carobmoor.mesh._evacuate import apply_reported
from carobmoor.mesh._fresh_loads import start_answer
from carobmoor.mesh._freshness_datagrams import handle_freshness
from carobmoor.mesh._peers import Peer, VersionReport
from carobmoor.mesh._state import MeshNode
from carobmoor.routing import OTHER_REGION
from carobmoor.telemetry import logger_for

_US_PER_S: Final = 1_000_000
_MS_PER_S: Final = 1000
_ROUND_TRIP_SMOOTHING: Final = 0.2
# A longer measurement, or a negative one, is of another clock.
_MAX_ROUND_TRIP_MS: Final = 60_000
# A node sends its load to each node of its region at intervals, and this many
# datagrams per second at most, so that its traffic is independent of the size.
_MIN_LOAD_INTERVAL_S: Final = 0.25
_MAX_LOADS_PER_S: Final = 20
# A node of the region counts as down when it was silent for that many
# intervals.
_MAX_SILENT_INTERVALS: Final = 3.2
# Traffic to other regions is expensive: one node of them gets a hello per
# interval, in turn. All nodes of a region together send a limited number, so
# that it does not grow with the fleet; hellos also spread versions.
_MIN_OTHER_REGION_INTERVAL_S: Final = 1
_MAX_REGION_HELLOS_PER_S: Final = 15
_TICK_S: Final = 0.05
_FIRST_HELLO_INTERVAL_S: Final = 0.2
_MAX_HELLO_INTERVAL_S: Final = 2
_log = logger_for('news')


class GossipProtocol(asyncio.DatagramProtocol):
    """Exchanges updates about members and load with other nodes."""

    def __init__(
        self,
        node: MeshNode,
        on_version: Callable[[int, Peer], None],
    ) -> None:
        """Call `on_version` when a node reports newer routes."""
        self._node = node
        self._on_version = on_version
        self._transport: asyncio.DatagramTransport | None = None
        self._load_sent_at_s = float(0)
        self._sent_version = 0
        self._sent_zones: frozenset[str] = frozenset()
        self._other_region_hello_at_s = float(0)
        self._allotment_review = AllotmentReview(node)
        node.peers.send = self._send

    async def open(self) -> None:
        """Bind the datagram socket."""
        settings = self._node.settings
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(settings.ip, settings.news_port),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, content: bytes, sender: Any) -> None:
        """Handle one datagram; a malformed one is dropped."""
        datagram = decode_datagram(content)
        ip = sender[0]
        if isinstance(datagram, Hello):
            if datagram.record.ip == ip:
                self._handle_hello(datagram)
        elif isinstance(datagram, Load):
            self._handle_load(datagram, ip)
        elif isinstance(datagram, Query):
            start_answer(self._node, ip)
        elif isinstance(datagram, (Ask, Grant)):
            receive_allotment(self._node, datagram, ip)
        else:
            handle_freshness(self._node, datagram, ip, self._on_version)

    async def run(self) -> None:
        """Send load updates and hellos when due, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            self.tick(time.monotonic())

    def tick(self, now_s: float) -> None:
        """Send the load updates and hellos that are due at `now_s`."""
        own_peer = self._node.peers.find_by_ip(self._node.settings.ip)
        if own_peer is not None and own_peer.record != self._node.record():
            self.notify_change()
        is_newer = (
            self._node.version != self._sent_version
            or self._node.peers.evacuation.zones != self._sent_zones
        )
        region = [
            peer
            for peer in self._node.peers
            if not peer.is_self and peer.distance != OTHER_REGION
        ]
        interval_s = load_interval_s(len(region))
        if is_newer or now_s - self._load_sent_at_s >= interval_s:
            self.send_load(now_s)
        for peer in region:
            self._check_silence(peer, now_s, _MAX_SILENT_INTERVALS * interval_s)
        self._allotment_review.run_if_due(now_s, interval_s)
        hello_interval_s = other_region_interval_s(len(region))
        if now_s - self._other_region_hello_at_s >= hello_interval_s:
            self._other_region_hello_at_s = now_s
            next_peer = _next_in_other_region(self._node.peers)
            if next_peer is not None:
                self.send_hello(next_peer, now_s)

    def add_or_update(self, record: NodeRecord) -> Peer | None:
        """Record another node; return `None` if the record is of this one."""
        node = self._node
        if record.address == node.settings.node_address:
            return None
        known = node.peers.find_by_ip(record.ip)
        if (
            known is not None
            and known.last_update_s
            and is_outdated(record, known.record)
        ):
            return known
        if known is None or known.record != record:
            _log.info(
                'Node added or changed.',
                peer=str(record.address),
                service=record.service,
                instance=record.instance_id,
                leaving=record.is_leaving,
            )
        region = node.settings.regions.get(record.availability_zone, '')
        return node.peers.add_or_update(record, region)

    def send_hello(
        self, peer: Peer, now_s: float, wants_reply: bool = True
    ) -> None:
        """Send the own record to a node, and ask for its record if wanted."""
        peer.hello_sent_at_s = now_s
        peer.unanswered_hellos += wants_reply
        sent_us = int(now_s * _US_PER_S)
        hello = _make_hello(self._node, wants_reply, sent_us)
        self._send(peer, encode_datagram(hello))

    def notify_change(self) -> None:
        """Send the changed record of this node to all nodes at once.

        Nodes of other regions are not asked to reply. They learn the first
        record from the store instead, since all nodes may start together.
        """
        now_s = time.monotonic()
        is_first = not self._node.revision
        self._node.revision += 1
        own_peer = self._node.peers.find_by_ip(self._node.settings.ip)
        if own_peer is not None:
            own_peer.record = self._node.record()
        for peer in self._node.peers:
            is_remote = peer.distance == OTHER_REGION
            if not peer.is_self and not (is_first and is_remote):
                peer.unanswered_hellos = 0
                self.send_hello(peer, now_s, wants_reply=not is_remote)

    def send_load(self, now_s: float) -> None:
        """Send the load of the own server to the nodes of the region."""
        self._load_sent_at_s = now_s
        self._sent_version = self._node.version
        self._sent_zones = self._node.peers.evacuation.zones
        load = self._node.load(now_s)
        content = encode_datagram(load)
        for peer in self._node.peers:
            if peer.is_self:
                peer.record_load(load, now_s)
            elif (
                peer.distance != OTHER_REGION and peer.avoided_until_s <= now_s
            ):
                self._send(peer, content)

    def _check_silence(
        self, peer: Peer, now_s: float, max_silence_s: float
    ) -> None:
        if now_s - peer.last_update_s < max_silence_s:
            return
        peer.avoided_until_s = now_s + max_silence_s
        wait_s = min(
            _MAX_HELLO_INTERVAL_S,
            _FIRST_HELLO_INTERVAL_S * 2 ** min(peer.unanswered_hellos, 10),
        )
        if now_s - peer.hello_sent_at_s >= wait_s:
            self.send_hello(peer, now_s)

    def _handle_hello(self, hello: Hello) -> None:
        peer = self.add_or_update(hello.record)
        if peer is None:
            return
        now_s = time.monotonic()
        self._mark_alive(peer, now_s, hello)
        measured_ms = (now_s - hello.echoed_us / _US_PER_S) * _MS_PER_S
        if hello.echoed_us and 0 <= measured_ms <= _MAX_ROUND_TRIP_MS:
            gap_ms = measured_ms - peer.round_trip_ms
            peer.round_trip_ms += _ROUND_TRIP_SMOOTHING * gap_ms
        if hello.wants_reply:
            sent_us = int(now_s * _US_PER_S)
            reply = _make_hello(self._node, False, sent_us, hello.sent_us)
            self._send(peer, encode_datagram(reply))

    def _handle_load(self, load: Load, ip: str) -> None:
        peer = self._node.peers.find_by_ip(ip)
        if peer is None:
            return
        now_s = time.monotonic()
        record = peer.record
        known = (record.incarnation, record.revision)
        if known != (load.incarnation, load.revision):
            if now_s - peer.hello_sent_at_s > _TICK_S:
                self.send_hello(peer, now_s)
            return
        self._mark_alive(peer, now_s, load)
        peer.record_load(load, now_s)

    def _mark_alive(
        self, peer: Peer, now_s: float, datagram: Hello | Load
    ) -> None:
        peer.last_update_s = now_s
        peer.avoided_until_s = 0
        peer.unanswered_hellos = 0
        apply_reported(self._node, datagram, str(peer.address))
        if datagram.version > self._node.version:
            report = VersionReport(datagram.version, now_s)
            self._node.peers.newest_report = report
            self._on_version(datagram.version, peer)

    def _send(self, peer: Peer, content: bytes) -> None:
        if self._transport is not None:
            port = self._node.settings.news_port
            self._transport.sendto(content, (peer.record.ip, port))


def _make_hello(
    node: MeshNode, wants_reply: bool, sent_us: int, echoed_us: int = 0
) -> Hello:
    evacuated = node.peers.evacuation.current
    return Hello(
        node.record(),
        node.version,
        wants_reply,
        sent_us,
        echoed_us,
        evacuated.version,
        tuple(sorted(evacuated.zones)),
    )


def load_interval_s(nodes: int) -> float:
    """Return the interval of load updates to that many nodes."""
    return max(_MIN_LOAD_INTERVAL_S, nodes / _MAX_LOADS_PER_S)


def other_region_interval_s(nodes: int) -> float:
    """Return the interval of hellos to other regions, with so many peers."""
    return max(_MIN_OTHER_REGION_INTERVAL_S, nodes / _MAX_REGION_HELLOS_PER_S)


def _next_in_other_region(peers: Iterable[Peer]) -> Peer | None:
    """Return the node of another region with the longest silence, if any.

    Both a hello to it and a datagram from it end a silence.
    """
    return min(
        (peer for peer in peers if peer.distance == OTHER_REGION),
        key=lambda peer: max(peer.last_update_s, peer.hello_sent_at_s),
        default=None,
    )
