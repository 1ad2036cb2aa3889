"""Anti-entropy and seed rows, with calls in memory."""

import asyncio
import random
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.membership._digest import bucket_of
from carobmoor.membership._gossip import Gossip
from carobmoor.membership._messages import MemberStatus
from carobmoor.membership._seeds import _try_to_join, check_seeds_once
from carobmoor.membership._sync import (
    answer_digests,
    answer_helpers,
    answer_members,
    synchronise,
)
from carobmoor.membership.tests.fixtures import member, state_of
from carobmoor.store.tests.fixtures import FakeStore
from carobmoor.transport import ConnectionPool, parse_address

ME = member(0)
OTHER = member(1)
OTHER_ADDRESS = parse_address(OTHER.address)


class InMemoryPeerClient:
    """Calls that are answered by one other state."""

    def __init__(self, state):
        """Set the state that answers."""
        self.state = state
        self.bodies = []

    async def post(self, address, target, body):
        """Answer from the other state."""
        self.bodies.append(body)
        if target.endswith('digests'):
            return answer_digests(self.state, body)
        return answer_members(self.state, body, 0)


def synchronise_states(ours, theirs):
    """Synchronise two states; return the bodies of the calls made."""
    peers = InMemoryPeerClient(theirs)
    assert asyncio.run(synchronise(ours, peers, OTHER_ADDRESS, 0))
    return peers.bodies


def live_members(state):
    """Return the members that are not dead."""
    return {
        known
        for known in state.members.values()
        if known.status is not MemberStatus.DEAD
    }


UPDATES = st.lists(
    st.builds(
        member,
        number=st.integers(2, 9),
        incarnation=st.integers(1, 3),
        status=st.sampled_from([MemberStatus.ALIVE, MemberStatus.LEAVING]),
    ),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(UPDATES, UPDATES)
def test_one_exchange_makes_states_equal(our_updates, their_updates):
    """One exchange makes both sides agree; the next has nothing to send."""
    ours = state_of(ME)
    theirs = state_of(OTHER)
    for state, updates in ((ours, our_updates), (theirs, their_updates)):
        merge_updates(state, updates)
    synchronise_states(ours, theirs)
    assert live_members(ours) == live_members(theirs)
    assert ours.digests == theirs.digests
    assert len(synchronise_states(ours, theirs)) == 1


def merge_updates(state, updates):
    """Merge some updates."""
    answer_members(state, msgspec.json.encode(updates), 0)


@params((True,), (False,))
def test_death_reaches_side_that_missed_it(is_known_to_us):
    """Whichever side starts, the one that missed the death receives it."""
    dead = member(2, status=MemberStatus.DEAD)
    states = (state_of(ME, [dead]), state_of(OTHER, [member(2)]))
    ours, theirs = states if is_known_to_us else reversed(states)
    synchronise_states(ours, theirs)
    for state in states:
        assert state.members[dead.address].status is MemberStatus.DEAD


def test_death_is_not_sent_to_node_without_member():
    """A death is not sent to a node that does not know the member."""
    bucket = bucket_of(member(2).address)
    same_bucket = next(
        each
        for each in map(member, range(3, 5000))
        if bucket_of(each.address) == bucket
    )
    dead = member(2, status=MemberStatus.DEAD)
    theirs = state_of(OTHER, [dead, same_bucket])
    ours = state_of(ME)
    synchronise_states(ours, theirs)
    assert same_bucket.address in ours.members
    assert dead.address not in ours.members
    ours.remove(same_bucket.address)
    synchronise_states(theirs, ours)
    assert same_bucket.address in ours.members
    assert dead.address not in ours.members


def test_exchange_with_changes_is_repeated_soon():
    """An exchange that changed anything is soon followed by another."""

    async def scenario(change_count):
        state = state_of(ME, [OTHER])
        gossip = Gossip(state, ConnectionPool(), random.Random(0))
        now_s = 1000

        async def exchange(_address, _now_s):
            for number in range(change_count):
                state.put(member(10 + number), 0)

        with mock.patch.object(gossip, 'exchange', exchange):
            await gossip._sync_once(now_s)
        return gossip._next_sync_s - now_s

    assert asyncio.run(scenario(1)) < 10
    assert asyncio.run(scenario(0)) > 20


def seeds_after_check(rows, known):
    """Check the seed rows once; return them and the nodes contacted."""

    async def scenario():
        store = FakeStore()
        for index, address in enumerate(rows):
            key = f'lagos/{index}'
            await store.put_row('seeds', key, address.encode(), '')
        state = state_of(ME, known)
        gossip = Gossip(state, ConnectionPool(), random.Random(0))
        synchronised_with = []

        async def exchange(address, _now_s):
            synchronised_with.append(str(address))

        with mock.patch.object(gossip, 'exchange', exchange):
            await check_seeds_once(gossip, store)
        written = [content.decode() for content, _ in store.rows.values()]
        return written, synchronised_with

    return asyncio.run(scenario())


def test_stale_seed_row_is_replaced():
    """The row of a dead node is replaced; that of an alive one is kept."""
    dead = member(2, status=MemberStatus.DEAD)
    rows = [OTHER.address, dead.address]
    written, _ = seeds_after_check(rows, [OTHER, dead])
    assert written == [OTHER.address, ME.address]


def test_rows_of_alive_seeds_are_unchanged():
    """Rows of alive seeds are left unchanged."""
    known = [member(number) for number in (1, 2, 3)]
    rows = [each.address for each in known]
    written, synchronised_with = seeds_after_check(rows, known)
    assert written == rows
    assert not synchronised_with


def test_unknown_seed_is_synchronised():
    """A node synchronises with unknown seeds, which joins separate groups."""
    known = [member(number) for number in (1, 2)]
    rows = [*(each.address for each in known), member(3).address]
    _, synchronised_with = seeds_after_check(rows, known)
    assert synchronised_with == [member(3).address]


@params(('lagos', 2), ('abuja', 1), ('ibadan', 3))
def test_helpers_prefer_requested_region(region, count):
    """Alive members of the requested region are named, else any."""
    others = [
        member(1),
        member(2),
        member(3, 'abuja-a'),
        member(4, status=MemberStatus.DEAD),
        member(5, status=MemberStatus.LEAVING),
    ]
    state = state_of(ME, others)
    request_body = msgspec.json.encode(region)
    response_body = answer_helpers(state, request_body, random.Random(0))
    named = msgspec.json.decode(response_body)
    assert len(named) == count
    assert member(4).address not in named
    assert member(5).address not in named
    assert ME.address not in named


def join_through_contact(named, rows=()):
    """Join through a contact; return the nodes contacted and the seed rows."""

    async def scenario():
        gossip = Gossip(state_of(ME), ConnectionPool(), random.Random(0))
        store = FakeStore()
        for index, address in enumerate(rows):
            key = f'lagos/{index}'
            await store.put_row('seeds', key, address.encode(), '')
        synchronised_with = []

        async def exchange(address, _now_s):
            synchronised_with.append(str(address))
            gossip.state.put(OTHER, 0)
            return True

        async def post(address, target, body):
            return msgspec.json.encode(named)

        with (
            mock.patch.object(gossip, 'exchange', exchange),
            mock.patch.object(gossip.peers, 'post', post),
        ):
            await _try_to_join(gossip, store, [OTHER_ADDRESS], random.Random(0))
        written = [content.decode() for content, _ in store.rows.values()]
        return synchronised_with, written

    return asyncio.run(scenario())


@params(
    ((), [OTHER_ADDRESS]),
    (('10.0.0.7:7000',), ['10.0.0.7:7000', OTHER_ADDRESS]),
)
def test_join_uses_named_member_before_contact(named, expected):
    """A joining node synchronises with a named member, then the contact."""
    synchronised_with, _ = join_through_contact(named)
    assert synchronised_with == [str(each) for each in expected]


@params(
    ((), [ME.address]),
    ((OTHER.address,), [OTHER.address, ME.address]),
    (('10.9.0.1:1', '10.9.0.2:1', OTHER.address), None),
)
def test_joining_node_takes_free_seed_row(rows, expected):
    """Otherwise the contact would find no one if it restarted alone."""
    _, written = join_through_contact((), rows)
    assert written == list(expected or rows)
