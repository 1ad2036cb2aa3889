"""Tests of followers: how versions spread, and when a node becomes ready."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from carobmoor.configuration._publish import publish
from carobmoor.configuration._state import (
    Offer,
    Snapshot,
    apply_offer,
    make_change,
)
from carobmoor.configuration.tests.fixtures import (
    Nodes,
    submission,
)
from carobmoor.store.tests.fixtures import FakePlatform

COUNT = 4
ALL = tuple(str(number) for number in range(COUNT))


async def _down(_):
    return 'down'


async def _stale(how):
    return 'stale' if how == 'read' else 'ok'


async def _well(_):
    return 'ok'


async def accept(platform, nodes, name, base, slots):
    """Publish through one node, as its HTTP handler does."""
    outcome = await publish(
        platform, submission(base, f'id-{base}-{slots}', slots)
    )
    head, pieces, changed = outcome.unwrap()
    change = make_change(head, pieces.manifest, changed, pieces.texts, name)
    snapshot = Snapshot(head, pieces.manifest)
    follower = nodes.followers[name]
    follower.note_published(snapshot, change, pieces.texts)


async def ready_fleet():
    """Make a store, and nodes that all have version 1 in force."""
    platform = FakePlatform()
    nodes = Nodes(platform, COUNT)
    await nodes.followers['0'].step(0)
    await accept(platform, nodes, '0', 0, 9)
    for name in ALL:
        await nodes.followers[name].step(0)
    return platform, nodes


def versions(nodes):
    """Return the distinct versions in force."""
    return {follower.version for follower in nodes.followers.values()}


def test_spreads_with_the_store_down():
    """A version spreads even if the store fails right after accepting it."""

    async def scenario():
        platform, nodes = await ready_fleet()
        await accept(platform, nodes, '0', 1, 12)
        platform.before = _down
        for sender, receiver in zip(ALL, ALL[1:], strict=False):
            nodes.tell(sender, receiver)
            await nodes.followers[receiver].step(1)
        return nodes

    nodes = asyncio.run(scenario())
    assert versions(nodes) == {2}
    held = nodes.followers['3'].accepted.document
    assert held['services'] == {'bookings': {'team': 'hire', 'slots': 12}}


def test_spreads_without_the_accepting_node():
    """A version spreads from a node that has it after its acceptor died.

    That node must also pass on the piece of a service it does not run.
    """

    async def scenario():
        platform, nodes = await ready_fleet()
        await accept(platform, nodes, '0', 1, 12)
        platform.before = _down
        nodes.followers['1'].state.service = 'media'
        nodes.tell('0', '1')
        await nodes.followers['1'].step(1)
        nodes.dead.add('0')
        nodes.tell('1', '2')
        await nodes.followers['2'].step(1)
        return nodes.followers['2']

    follower = asyncio.run(scenario())
    assert follower.version == 2


def test_older_versions_are_ignored():
    """A snapshot of an older version, or changes after a gap, are ignored."""

    async def scenario():
        platform, nodes = await ready_fleet()
        for base in range(1, 4):
            await accept(platform, nodes, '0', base, 20 + base)
        return nodes.followers['0'].state, nodes.followers['1'].state

    ahead, behind = asyncio.run(scenario())
    changes = tuple(ahead.changes.values())
    assert apply_offer(behind, Offer(changes[2:])) is None
    assert apply_offer(behind, Offer(changes[1:])) is not None
    older = Snapshot(changes[1].head, ahead.manifest)
    assert not ahead.put_in_force(older, (), {})
    assert ahead.version == 4


def test_node_far_behind_takes_a_snapshot():
    """A node that missed changes no longer kept catches up by a snapshot."""

    async def scenario():
        platform, nodes = await ready_fleet()
        for base in range(1, 6):
            await accept(platform, nodes, '0', base, 20 + base)
        state = nodes.followers['0'].state
        state.changes.clear()
        platform.before = _down
        nodes.tell('0', '1')
        await nodes.followers['1'].step(1)
        return nodes.followers['1']

    follower = asyncio.run(scenario())
    assert follower.version == 6
    held = follower.accepted.document['services']
    assert held['bookings']['slots'] == 25


def test_poller_finds_what_nobody_told():
    """Pollers find a version in the store that no node reported.

    This happens if the node that accepted it dies at once.
    """

    async def scenario():
        platform, nodes = await ready_fleet()
        await publish(platform, submission(1, 'late', 12))
        nodes.pollers.add('2')
        for name in ALL:
            await nodes.followers[name].step(2)
        nodes.tell('2', '1')
        platform.before = _down
        await nodes.followers['1'].step(3)
        return nodes

    nodes = asyncio.run(scenario())
    found = [nodes.followers[name].version for name in ALL]
    assert found == [1, 2, 2, 1]


def test_few_read_the_store():
    """Only pollers read the head every second; other nodes read it rarely."""

    async def scenario():
        platform, nodes = await ready_fleet()
        nodes.pollers.add('2')
        before = platform.reads
        for second in range(100):
            for name in ALL:
                await nodes.followers[name].step(second)
        return platform.reads - before

    assert asyncio.run(scenario()) <= 100 + COUNT


@params(
    # The reporting nodes; even and odd numbers are the two zones.
    ((), 0),
    (('2',), 0),
    (('0', '2'), 0),
    (('0', '1', '2'), 1),
)
def test_start_with_the_store_down(tellers, expected):
    """With the store down, a start needs reports of nodes in both zones."""

    async def scenario():
        platform, nodes = await ready_fleet()
        platform.before = _down
        late = Nodes(platform, COUNT)
        late.followers.update(
            {name: nodes.followers[name] for name in ALL[:3]},
        )
        for teller in tellers:
            late.tell(teller, '3')
        await late.followers['3'].step(0)
        return late.followers['3'].version

    assert asyncio.run(scenario()) == expected


def test_start_with_a_stale_store():
    """A head from before the last write is not put in force.

    The store may return it, so a starting node waits for a live node.
    """

    async def scenario():
        platform, nodes = await ready_fleet()
        await accept(platform, nodes, '0', 1, 12)
        platform.older = [{**platform.older[-1]}]
        platform.before = _stale
        late = Nodes(platform, COUNT)
        late.followers['0'] = nodes.followers['0']
        starting = late.followers['3']
        starting.fleet = starting.fleet._replace(expects_word=lambda: True)
        seen = []
        for second in range(3):
            await starting.step(second)
            seen.append(starting.version)
        late.tell('0', '3')
        await starting.step(3)
        await starting.step(4)
        return [*seen, starting.version]

    assert asyncio.run(scenario()) == [0, 0, 0, 2]


@params((4, 0), (6, 1))
def test_word_of_others_is_waited_for_in_bounds(second, version):
    """Without a report, the version in the store is used after the timeout."""

    async def scenario():
        platform, _ = await ready_fleet()
        starting = Nodes(platform, COUNT).followers['3']
        starting.fleet = starting.fleet._replace(expects_word=lambda: True)
        await starting.step(0)
        await starting.step(second)
        return starting.version

    assert asyncio.run(scenario()) == version


def test_start_below_the_head_is_not_ready():
    """A starting node that read the head never puts an older version in force.

    Here a live node still has the older one, and the pieces of the newer
    cannot be read at first.
    """

    async def scenario():
        platform, nodes = await ready_fleet()
        late = Nodes(platform, COUNT)
        late.followers['0'] = nodes.followers['0']
        await publish(platform, submission(1, 'late', 12))
        bodies = dict(platform.objects)
        platform.objects.clear()
        starting = late.followers['3']
        await starting.step(0)
        late.tell('0', '3')
        await starting.step(1)
        before = starting.version
        platform.objects.update(bodies)
        await starting.step(2)
        return before, starting.version

    assert asyncio.run(scenario()) == (0, 2)


def test_other_services_are_borrowed_on_demand():
    """A node fetches another service only when its declaration is needed."""

    async def scenario():
        platform, nodes = await ready_fleet()
        follower = nodes.followers['1']
        before = set(follower.accepted.document['services'])
        found = await follower.declared('media')
        missing = await follower.declared('unheard-of')
        after = set(follower.accepted.document['services'])
        return before, found, missing, after

    before, found, missing, after = asyncio.run(scenario())
    assert before == {'bookings'}
    assert found['slots'] == 4
    assert missing is None
    assert after == {'bookings', 'media'}


class Spreading(RuleBasedStateMachine):
    """Nodes that report and catch up in any order, over a faulty store."""

    def __init__(self):
        """Start with version 1 in force everywhere."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        fleet = self.loop.run_until_complete(ready_fleet())
        self.platform = fleet[0]
        self.nodes = fleet[1]
        self.now_s = 0
        self.accepted = 1
        self.seen = dict.fromkeys(ALL, 1)

    @rule(name=st.sampled_from(ALL), slots=st.integers(1, 99))
    def accept(self, name, slots):
        """Accept the next version through a node."""
        self.platform.before = _well
        self.loop.run_until_complete(
            accept(self.platform, self.nodes, name, self.accepted, slots),
        )
        self.accepted += 1

    @rule(sender=st.sampled_from(ALL), receiver=st.sampled_from(ALL))
    def tell(self, sender, receiver):
        """Deliver the version of one node to another."""
        self.nodes.tell(sender, receiver)

    @rule(
        name=st.sampled_from(ALL),
        how=st.sampled_from(['ok', 'down', 'stale']),
        polls=st.booleans(),
    )
    def step(self, name, how, polls):
        """Run a step of one node while the store is in some state."""

        async def before(_):
            return how

        self.platform.before = before
        self.nodes.pollers = {name} if polls else set()
        self.now_s += 1
        self.loop.run_until_complete(
            self.nodes.followers[name].step(self.now_s),
        )

    @invariant()
    def versions_never_fall(self):
        """No version in force falls or exceeds the accepted one."""
        for name, follower in self.nodes.followers.items():
            assert self.seen[name] <= follower.version <= self.accepted
            self.seen[name] = follower.version

    def teardown(self):
        """Once the store works, every poller reaches the accepted version."""
        self.platform.before = _well
        self.nodes.pollers = set(ALL)
        for follower in self.nodes.followers.values():
            self.loop.run_until_complete(follower.step(self.now_s + 1))
        assert versions(self.nodes) == {self.accepted}
        self.loop.close()


def test_spreading_never_reverts():
    """No order of reports, polls and store faults makes a version fall."""
    run_state_machine_as_test(
        Spreading,
        settings=settings(
            derandomize=True,
            max_examples=40,
            stateful_step_count=30,
            deadline=None,
        ),
    )
