"""One odd entry of another writer never stops a node, nor hides the others.

Odd values stand at every place that a decoder reads, keeps or skips: in rows,
datagrams, the header between nodes, marks and the load that servers report.
"""

import random
import time
from collections.abc import Sequence
from unittest import mock

import msgspec
from nose2.tools import params

from carobmoor.decoding.tests.odd_values import odd_variants
from carobmoor.mesh._backend import read_load
from carobmoor.mesh._datagrams import (
    Hello,
    Load,
    NodeRecord,
    decode_record,
    encode_datagram,
    encode_record,
)
from carobmoor.mesh._hop import Hop, decode_hop, encode_hop
from carobmoor.mesh.tests.fixtures import (
    SERVICE,
    Mesh,
    NodeWithServer,
    ready_announcement,
)
from carobmoor.mesh.tests.test_membership import run
from carobmoor.mesh.tests.test_other_region_gossip import gossip_with
from carobmoor.quarantine import MarkExchange, QuarantineState, ServiceNodes
from carobmoor.routes import RouteKind

TABLE = 'nodes'
PEER = NodeRecord('127.0.9.9', 7000, 5, 3, 'a', SERVICE, 'i-9', 4, False, 9)
PEER_SOURCE = (PEER.ip, 7000)
LOAD = Load(5, 3, 0, 1, 1, 100, 100, 150, 1000, True, 4, 10, 10)
FLEET = 3


def variants_of(message: object) -> Sequence[bytes]:
    """Return the odd variants of a message that nodes send."""
    return tuple(
        odd_variants(msgspec.json.decode(msgspec.json.encode(message)))
    )


def write_rows(mesh: Mesh) -> None:
    """Write each odd variant of a record to a row of its own."""
    for number, content in enumerate(variants_of(PEER)):
        mesh.store.write(TABLE, f'127.0.9.9:{number}', content)


# Guards against a node that never gets ready, since one row that it can't
# decode ends its reading of all rows, again and again.
def test_fleet_starts_beside_odd_rows():
    """Nodes that start beside odd rows find each other and serve."""

    async def check(mesh: Mesh) -> None:
        write_rows(mesh)
        for place in range(1, FLEET + 1):
            await mesh.add(place)
        await mesh.wait_until_connected()
        for pair in mesh.nodes:
            assert pair.node.store_availability.has_read_members
            for number in range(FLEET):
                answer = await mesh.ask(pair, request_id=f'r-{number}')
                assert answer.head.status == 200

    run(check, 0)


# Guards against a node that can't use its own backend server after a restart,
# because of what its row says.
def test_node_restarts_beside_odd_own_row():
    """Whatever the own row holds, the next check-in puts the server in use."""

    async def check(mesh: Mesh) -> None:
        pair = mesh.make(9)
        key = str(pair.node.settings.node_address)
        own = msgspec.structs.replace(
            PEER,
            ip=pair.node.settings.ip,
            port=pair.node.settings.node_address.port,
        )
        for content in variants_of(own):
            mesh.store.write(TABLE, key, content)
            await _restart(mesh)

    run(check, 0)


async def _restart(mesh: Mesh) -> None:
    restarted: NodeWithServer = mesh.make(9)
    assert await restarted.own_row._read()
    announced = ready_announcement()._replace(born_ms=int(time.time() * 1000))
    restarted.announce(announced)
    assert restarted.node.backend.last_announcement == announced
    assert decode_record(encode_record(restarted.node.record()))
    assert encode_datagram(restarted.node.load(time.monotonic()))


# Guards against a datagram that ends the gossip, or makes a node unknown.
@params(Hello(PEER, 0, True, 5, 5), LOAD)
def test_odd_datagrams_change_nothing(datagram):
    """After each odd datagram, the node's own records and loads count."""
    for content in variants_of(datagram):
        gossip, sent = gossip_with(1)
        gossip.datagram_received(content, PEER_SOURCE)
        gossip.tick(time.monotonic())
        hello = Hello(PEER, 0, True)
        gossip.datagram_received(encode_datagram(hello), PEER_SOURCE)
        gossip.datagram_received(encode_datagram(LOAD), PEER_SOURCE)
        known = gossip._node.peers.find_by_ip(PEER.ip)
        assert known is not None
        assert sent.by_ip[PEER.ip]


# Guards against a record that only claims to be of another node.
def test_hello_from_another_address_is_dropped():
    """A node alone says what its record is."""
    gossip, _ = gossip_with(0)
    hello = Hello(PEER, 0, wants_reply=False)
    gossip.datagram_received(encode_datagram(hello), ('127.0.9.8', 7000))
    assert gossip._node.peers.find_by_ip(PEER.ip) is None


# Guards against round trips that are measured from another clock, or from a
# hello that answers none, on a machine that has just started.
@params((0, 0.4), (59_000_000, 0.4), (9_000_000_000, 0.4), (29_990_000, 2.3))
def test_round_trip_is_measured_from_answers(echoed_us, expected_ms):
    """Only the answer to an own hello, on the own clock, is measured."""
    gossip, _ = gossip_with(0)
    hello = Hello(PEER, 0, False, 5, echoed_us)
    with mock.patch('carobmoor.mesh._gossip.time.monotonic', lambda: 30.0):
        gossip.datagram_received(encode_datagram(hello), PEER_SOURCE)
    known = gossip._node.peers.find_by_ip(PEER.ip)
    assert known is not None
    assert round(known.round_trip_ms, 1) == expected_ms


# Guards against a row whose number outdates what its node says of itself.
def test_row_does_not_outdate_its_node():
    """A record of the node itself replaces that of a row."""
    gossip, _ = gossip_with(0)
    odd = msgspec.structs.replace(PEER, revision=2**63 - 1)
    assert gossip.add_or_update(odd) is not None
    hello = Hello(PEER, 0, wants_reply=False)
    gossip.datagram_received(encode_datagram(hello), PEER_SOURCE)
    known = gossip._node.peers.find_by_ip(PEER.ip)
    assert known is not None
    assert known.record == PEER


# Guards against a request from another node that ends without an answer.
def test_odd_header_between_nodes_is_refused():
    """The header of a request from another node is decoded or refused."""
    hop = Hop(SERVICE, RouteKind.UPLOAD, 1, 500.5, 400.5, 'r', False, 'd')
    assert decode_hop(encode_hop(hop).decode()) == hop
    for content in variants_of(hop):
        decoded = decode_hop(content.decode('latin-1'))
        assert decoded is None or encode_hop(decoded)


# Guards against a message of marks that ends the exchange of all others.
def test_odd_marks_are_dropped():
    """Odd marks are dropped, and later ones are merged."""
    mark = ('f', 's', 'GET', '/', 'c', ('127.0.0.1:1/2',), (), 5000)
    exchange = MarkExchange(
        QuarantineState(),
        ServiceNodes('127.0.0.1:1', tuple),
        mock.AsyncMock(return_value=None),
        random.Random(1),
    )
    for content in variants_of([mark]):
        assert exchange.answer(content)
    exchange.receive(msgspec.json.encode([mark]))
    assert exchange.state.marks


# Guards against a server whose report makes the load of its node unsendable.
@params('inf,1,1', '1,inf,1', '1,1,1,inf', '1,1,1,1e300', 'nan,1,1', '9' * 400)
def test_odd_load_of_a_server_is_ignored(content):
    """A report with a number that is too large is no report."""
    assert read_load(content) is None
