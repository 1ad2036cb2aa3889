"""Datagrams are signed and bounded in size and number."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from carobmoor.membership._messages import Datagram, DatagramKind
from carobmoor.membership._signing import seal, unseal
from carobmoor.membership._socket import DatagramSocket
from carobmoor.membership._updates import UpdateQueue, max_sends_for
from carobmoor.membership.tests.fixtures import member, state_of

KEY = b'a key that every node shares'


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 10_000))
def test_changed_body_is_rejected(body, position):
    """A body is returned only if its key and bytes are unchanged."""
    sealed = seal(KEY, body)
    assert unseal(KEY, sealed) == body
    assert unseal(KEY + b'x', sealed) is None
    changed = bytearray(sealed)
    changed[position % len(changed)] ^= 1
    assert unseal(KEY, bytes(changed)) is None


def test_malformed_datagrams_are_dropped():
    """Bytes that are no valid datagram are counted and not passed on."""
    received: list[Datagram] = []
    socket = DatagramSocket(b'', received.append)
    for body in (b'', b'[]', b'{', b'[0,1]', b'\xff' * 2000):
        socket.datagram_received(body, None)
    assert not received
    assert socket.traffic.rejected == 5


def test_updates_are_bounded_in_size_and_sends():
    """Each update is sent as often as allowed, in datagrams of one MTU."""
    others = [member(number) for number in range(1, 41)]
    state = state_of(member(0), others)
    sent: list[str] = []
    while state.updates:
        picked = state.updates.pick(state.members, 5)
        sealed = seal(KEY, _encoded(picked))
        assert len(sealed) <= 1400
        sent.extend(each.address for each in picked)
    for other in others:
        assert sent.count(other.address) == 5


def test_version_is_sent_without_member_updates():
    """A new version causes datagrams even without updates of members."""
    queue = UpdateQueue()
    queue.add_version(3)
    rounds = 0
    while queue:
        assert not queue.pick({}, 5)
        rounds += 1
    assert rounds == 3


def test_max_sends_grows_slowly():
    """Ten times the members need only a few more sends per update."""
    assert max_sends_for(9300) - max_sends_for(930) <= 3


def _encoded(updates):
    address = member(0).address
    datagram = Datagram(
        DatagramKind.UPDATES, 10**6, address, address, 10**6, updates
    )
    return msgspec.json.encode(datagram)
