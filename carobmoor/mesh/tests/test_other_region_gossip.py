"""Traffic to other regions must not grow with the number of nodes there."""

import itertools
import time
from collections import Counter
from typing import Any

from nose2.tools import params

from carobmoor.mesh._datagrams import NodeRecord
from carobmoor.mesh._gossip import GossipProtocol, load_interval_s
from carobmoor.mesh._peers import Peer
from carobmoor.mesh.tests.fixtures import Mesh

SECONDS = 30
TICKS_A_S = 20
START_S = 1000


class CountingTransport:
    """Stands in for the socket and counts datagrams by receiver."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.by_ip: Counter[str] = Counter()

    def sendto(self, _content: bytes, receiver: Any) -> None:
        """Count one datagram."""
        self.by_ip[receiver[0]] += 1


def gossip_with(
    other_region_nodes: int,
) -> tuple[GossipProtocol, CountingTransport]:
    """Create a node that knows `other_region_nodes` nodes of another region."""
    node = Mesh().make(1).node
    for place in range(other_region_nodes):
        record = NodeRecord(f'127.0.{place}.9', 1, 1, 0, 'c', 'one', 'i', 4)
        node.peers.add_or_update(record, 'south')
    gossip = GossipProtocol(node, _ignore)
    sent = CountingTransport()
    gossip._transport = sent  # type: ignore[assignment]
    return gossip, sent


def _ignore(_version: int, _peer: Peer) -> None:
    """Ignore a version."""


@params(2, 20, 200)
def test_other_regions_get_hellos_in_turn(other_region_nodes):
    """One hello a second goes to other regions, in turn, answered or not."""
    gossip, sent = gossip_with(other_region_nodes)
    for tick in range(SECONDS * TICKS_A_S):
        gossip.tick(START_S + tick / TICKS_A_S)
    assert sent.by_ip.total() <= SECONDS + 1
    assert len(sent.by_ip) == min(other_region_nodes, sent.by_ip.total())
    counts = sent.by_ip.values()
    assert max(counts) - min(counts) <= 1


def test_change_is_sent_once_to_other_regions():
    """A change goes to all nodes, and asks other regions for no reply."""
    gossip, sent = gossip_with(20)
    gossip.notify_change()
    sent.by_ip.clear()
    gossip.notify_change()
    assert len(sent.by_ip) == 20
    assert set(sent.by_ip.values()) == {1}
    assert all(peer.unanswered_hellos == 0 for peer in gossip._node.peers)


def test_first_record_stays_in_the_region():
    """Other regions read it from the store, since all may start together."""
    gossip, sent = gossip_with(20)
    gossip.notify_change()
    assert not sent.by_ip


# Times before and after the machine's own clock, whatever its uptime.
STARTS_S = (1, time.monotonic() / 2, time.monotonic(), time.monotonic() + 1e6)
# Several of the longest intervals of load updates.
UPDATES_S = 60


@params(*itertools.product((8, 30, 65, 300), STARTS_S))
def test_load_updates_do_not_grow_with_region(region_nodes, start_s):
    """A node sends a limited number of updates, and hellos to other regions.

    All that a tick sends is timed by the time that it is given. It once
    compared that with the machine's own clock and sent an update in each tick.
    """
    gossip, sent = gossip_with(10)
    own_region: set[str] = set()
    for place in range(region_nodes):
        record = NodeRecord(
            f'127.1.{place // 200}.{place % 200 + 1}', 1, 1, 0, 'a', 'one', 'i'
        )
        peer = gossip._node.peers.add_or_update(record, 'north')
        # Alive, so that it gets no hello.
        peer.last_update_s = start_s + UPDATES_S
        own_region.add(record.ip)
    for tick in range(UPDATES_S * TICKS_A_S):
        gossip.tick(start_s + tick / TICKS_A_S)
    to_region = sum(sent.by_ip[ip] for ip in own_region)
    assert to_region <= 28 * UPDATES_S + region_nodes
    # A round starts in the first tick at which its interval has passed.
    longest_s = load_interval_s(region_nodes) + 1 / TICKS_A_S
    assert to_region >= region_nodes * int(UPDATES_S / longest_s)
    to_others = sent.by_ip.total() - to_region
    assert to_others * region_nodes <= (15 + region_nodes) * (UPDATES_S + 1)
