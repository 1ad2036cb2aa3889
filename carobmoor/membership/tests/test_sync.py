"""Anti-entropy and seed rows, with calls in memory."""

import asyncio
import random
import time
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.membership._digest import bucket_of
from carobmoor.membership._gossip import Gossip
from carobmoor.membership._messages import Standing
from carobmoor.membership._seeds import _try_to_join, look_once
from carobmoor.membership._sync import (
    answer_digests,
    answer_helpers,
    answer_members,
    synchronise,
)
from carobmoor.membership.tests.fixtures import member, state_of
from carobmoor.store.tests.fixtures import FakePlatform
from carobmoor.transport import ConnectionPool, parse_address

ME = member(0)
OTHER = member(1)
THERE = parse_address(OTHER.address)


class PeersInMemory:
    """Calls that are answered by one other state."""

    def __init__(self, state):
        """Set the state that answers."""
        self.state = state
        self.moved = []

    async def post(self, address, target, body):
        """Answer from the other state."""
        self.moved.append(body)
        if target.endswith('digests'):
            return answer_digests(self.state, body)
        return answer_members(self.state, body, 0)


def synchronised(ours, theirs):
    """Synchronise two states; return the bodies of the calls made."""
    peers = PeersInMemory(theirs)
    assert asyncio.run(synchronise(ours, peers, THERE, 0))
    return peers.moved


def living(state):
    """Return the members that are not dead."""
    return {
        known
        for known in state.members.values()
        if known.standing is not Standing.DEAD
    }


NEWS = st.lists(
    st.builds(
        member,
        number=st.integers(2, 9),
        incarnation=st.integers(1, 3),
        standing=st.sampled_from([Standing.ALIVE, Standing.LEAVING]),
    ),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(NEWS, NEWS)
def test_both_know_the_same_after(here, there):
    """One exchange makes both sides agree; the next has nothing to send."""
    ours = state_of(ME)
    theirs = state_of(OTHER)
    for state, news in ((ours, here), (theirs, there)):
        merge_all(state, news)
    synchronised(ours, theirs)
    assert living(ours) == living(theirs)
    assert ours.digests == theirs.digests
    assert len(synchronised(ours, theirs)) == 1


def merge_all(state, news):
    """Merge some updates."""
    answer_members(state, msgspec.json.encode(news), 0)


@params((True,), (False,))
def test_death_is_told_to_who_holds_it_alive(is_known_here):
    """Whichever side starts, the one that missed the death receives it."""
    dead = member(2, standing=Standing.DEAD)
    states = (state_of(ME, [dead]), state_of(OTHER, [member(2)]))
    ours, theirs = states if is_known_here else reversed(states)
    synchronised(ours, theirs)
    for state in states:
        assert state.members[dead.address].standing is Standing.DEAD


def test_the_dead_do_not_circulate():
    """A death is not sent to a node that does not know the member."""
    bucket = bucket_of(member(2).address)
    beside = next(
        each
        for each in map(member, range(3, 5000))
        if bucket_of(each.address) == bucket
    )
    dead = member(2, standing=Standing.DEAD)
    theirs = state_of(OTHER, [dead, beside])
    ours = state_of(ME)
    synchronised(ours, theirs)
    assert beside.address in ours.members
    assert dead.address not in ours.members
    ours.forget(beside.address)
    synchronised(theirs, ours)
    assert beside.address in ours.members
    assert dead.address not in ours.members


def test_what_was_found_is_followed_up():
    """An exchange that changed anything is soon followed by another."""

    async def scenario(found):
        state = state_of(ME, [OTHER])
        gossip = Gossip(state, ConnectionPool(), random.Random(0))
        now_s = time.monotonic()

        async def exchange(_):
            for number in range(found):
                state.keep(member(10 + number), 0)

        with mock.patch.object(gossip, 'exchange', exchange):
            await gossip._sync_once(now_s)
        return gossip._next_sync_s - now_s

    assert asyncio.run(scenario(1)) < 10
    assert asyncio.run(scenario(0)) > 20


def seeds_after_look(rows, known):
    """Check the seed rows once; return the rows after and the seeds met."""

    async def scenario():
        platform = FakePlatform()
        for slot, address in enumerate(rows):
            key = f'lagos/{slot}'
            await platform.put_row('seeds', key, address.encode(), '')
        state = state_of(ME, known)
        gossip = Gossip(state, ConnectionPool(), random.Random(0))
        met = []

        async def exchange(address):
            met.append(str(address))

        with mock.patch.object(gossip, 'exchange', exchange):
            await look_once(gossip, platform)
        written = [content.decode() for content, _ in platform.rows.values()]
        return written, met

    return asyncio.run(scenario())


def test_stale_seed_is_replaced():
    """The row of a dead node is replaced; that of an alive one is kept."""
    dead = member(2, standing=Standing.DEAD)
    rows = [OTHER.address, dead.address]
    written, _ = seeds_after_look(rows, [OTHER, dead])
    assert written == [OTHER.address, ME.address]


def test_held_seeds_are_left_alone():
    """Rows of alive seeds are left unchanged."""
    known = [member(number) for number in (1, 2, 3)]
    rows = [each.address for each in known]
    written, met = seeds_after_look(rows, known)
    assert written == rows
    assert not met


def test_strangers_among_the_seeds_are_met():
    """A node synchronises with unknown seeds, which joins separate groups."""
    known = [member(number) for number in (1, 2)]
    rows = [*(each.address for each in known), member(3).address]
    _, met = seeds_after_look(rows, known)
    assert met == [member(3).address]


@params(('lagos', 2), ('abuja', 1), ('ibadan', 3))
def test_helpers_are_of_the_region(region, count):
    """Alive members of the requested region are named, else any."""
    others = [
        member(1),
        member(2),
        member(3, 'abuja-a'),
        member(4, standing=Standing.DEAD),
        member(5, standing=Standing.LEAVING),
    ]
    state = state_of(ME, others)
    asked = msgspec.json.encode(region)
    told = answer_helpers(state, asked, random.Random(0))
    named = msgspec.json.decode(told)
    assert len(named) == count
    assert member(4).address not in named
    assert member(5).address not in named
    assert ME.address not in named


def met_and_rows(named, rows=()):
    """Join through a contact; return the nodes met and the seed rows."""

    async def scenario():
        gossip = Gossip(state_of(ME), ConnectionPool(), random.Random(0))
        platform = FakePlatform()
        for slot, address in enumerate(rows):
            key = f'lagos/{slot}'
            await platform.put_row('seeds', key, address.encode(), '')
        met = []

        async def exchange(address):
            met.append(str(address))
            gossip.state.keep(OTHER, 0)
            return True

        async def post(address, target, body):
            return msgspec.json.encode(named)

        with (
            mock.patch.object(gossip, 'exchange', exchange),
            mock.patch.object(gossip.peers, 'post', post),
        ):
            await _try_to_join(gossip, platform, [THERE], random.Random(0))
        written = [content.decode() for content, _ in platform.rows.values()]
        return met, written

    return asyncio.run(scenario())


@params(((), [THERE]), (('10.0.0.7:7000',), ['10.0.0.7:7000', THERE]))
def test_joining_goes_through_who_is_named(named, expected):
    """A joining node synchronises with a named member, then the contact."""
    met, _ = met_and_rows(named)
    assert met == [str(each) for each in expected]


@params(
    ((), [ME.address]),
    ((OTHER.address,), [OTHER.address, ME.address]),
    (('10.9.0.1:1', '10.9.0.2:1', OTHER.address), None),
)
def test_who_joins_takes_a_free_seed_row(rows, expected):
    """Otherwise the contact would find no one if it restarted alone."""
    _, written = met_and_rows((), rows)
    assert written == list(expected or rows)
