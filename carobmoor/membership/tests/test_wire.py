"""Datagrams are signed and bounded in size and number."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from carobmoor.membership._messages import Datagram, Kind
from carobmoor.membership._news import NewsQueue, tellings_for
from carobmoor.membership._signing import seal, unseal
from carobmoor.membership._socket import DatagramSocket
from carobmoor.membership.tests.fixtures import member, state_of

KEY = b'a key that every node shares'


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 10_000))
def test_changed_datagram_is_refused(body, position):
    """A body is returned only if its key and bytes are unchanged."""
    sealed = seal(KEY, body)
    assert unseal(KEY, sealed) == body
    assert unseal(KEY + b'x', sealed) is None
    changed = bytearray(sealed)
    changed[position % len(changed)] ^= 1
    assert unseal(KEY, bytes(changed)) is None


def test_malformed_datagrams_are_dropped():
    """Bytes that are no valid datagram are counted and not passed on."""
    heard: list[Datagram] = []
    socket = DatagramSocket(b'', heard.append)
    for body in (b'', b'[]', b'{', b'[0,1]', b'\xff' * 2000):
        socket.datagram_received(body, None)
    assert not heard
    assert socket.traffic.refused == 5


def test_news_is_bounded_in_size_and_in_tellings():
    """Each update is sent as often as allowed, in datagrams of one MTU."""
    others = [member(number) for number in range(1, 41)]
    state = state_of(member(0), others)
    told: list[str] = []
    while state.news:
        picked = state.news.pick(state.members, 5)
        sealed = seal(KEY, _encoded(picked))
        assert len(sealed) <= 1400
        told.extend(each.address for each in picked)
    for other in others:
        assert told.count(other.address) == 5


def test_version_alone_is_told_too():
    """A new version causes datagrams even without updates of members."""
    queue = NewsQueue()
    queue.add_version(3)
    rounds = 0
    while queue:
        assert not queue.pick({}, 5)
        rounds += 1
    assert rounds == 3


def test_tellings_grow_slowly():
    """Ten times the members need only a few more sends per update."""
    assert tellings_for(9300) - tellings_for(930) <= 3


def _encoded(news):
    address = member(0).address
    datagram = Datagram(Kind.NEWS, 10**6, address, address, 10**6, news)
    return msgspec.json.encode(datagram)
