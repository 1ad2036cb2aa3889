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
    MissedVersions,
    Snapshot,
    build_change,
    snapshot_after,
)
from carobmoor.configuration.tests.fixtures import (
    Nodes,
    submission,
)
from carobmoor.store.tests.fixtures import FakeStore

NODE_COUNT = 4
ALL_NODES = tuple(str(number) for number in range(NODE_COUNT))


async def _always_down(_):
    return 'down'


async def _stale_reads(how):
    return 'stale' if how == 'read' else 'ok'


async def _no_faults(_):
    return 'ok'


async def accept(store, nodes, name, base, slots):
    """Publish through one node, as its HTTP handler does."""
    outcome = await publish(
        store, submission(base, f'id-{base}-{slots}', slots)
    )
    head, pieces, changed = outcome.unwrap()
    change = build_change(head, pieces.manifest, changed, pieces.texts, name)
    snapshot = Snapshot(head, pieces.manifest)
    follower = nodes.followers[name]
    follower.apply_published(snapshot, change, pieces.texts)


async def ready_fleet():
    """Make a store, and nodes that all have version 1 in force."""
    store = FakeStore()
    nodes = Nodes(store, NODE_COUNT)
    await nodes.followers['0'].step(0)
    await accept(store, nodes, '0', 0, 9)
    for name in ALL_NODES:
        await nodes.followers[name].step(0)
    return store, nodes


def versions_in_force(nodes):
    """Return the distinct versions in force."""
    return {follower.version for follower in nodes.followers.values()}


def test_version_spreads_while_store_is_down():
    """A version spreads even if the store fails right after accepting it."""

    async def scenario():
        store, nodes = await ready_fleet()
        await accept(store, nodes, '0', 1, 12)
        store.before_call = _always_down
        for sender, receiver in zip(ALL_NODES, ALL_NODES[1:], strict=False):
            nodes.report_version(sender, receiver)
            await nodes.followers[receiver].step(1)
        return nodes

    nodes = asyncio.run(scenario())
    assert versions_in_force(nodes) == {2}
    held = nodes.followers['3'].accepted.document
    assert held['services'] == {'bookings': {'team': 'hire', 'slots': 12}}


def test_version_spreads_after_its_acceptor_died():
    """A version spreads from a node that has it after its acceptor died.

    That node must also pass on the piece of a service it does not run.
    """

    async def scenario():
        store, nodes = await ready_fleet()
        await accept(store, nodes, '0', 1, 12)
        store.before_call = _always_down
        nodes.followers['1'].state.service = 'media'
        nodes.report_version('0', '1')
        await nodes.followers['1'].step(1)
        nodes.unreachable.add('0')
        nodes.report_version('1', '2')
        await nodes.followers['2'].step(1)
        return nodes.followers['2']

    follower = asyncio.run(scenario())
    assert follower.version == 2


def test_older_version_or_gap_is_ignored():
    """A snapshot of an older version, or changes after a gap, are ignored."""

    async def scenario():
        store, nodes = await ready_fleet()
        for base in range(1, 4):
            await accept(store, nodes, '0', base, 20 + base)
        return nodes.followers['0'].state, nodes.followers['1'].state

    ahead, behind = asyncio.run(scenario())
    changes = tuple(ahead.changes.values())
    assert snapshot_after(behind, MissedVersions(changes[2:])) is None
    assert snapshot_after(behind, MissedVersions(changes[1:])) is not None
    older = Snapshot(changes[1].head, ahead.manifest)
    assert not ahead.put_in_force(older, (), {})
    assert ahead.version == 4


def test_node_far_behind_gets_snapshot():
    """A node that missed changes no longer kept catches up by a snapshot."""

    async def scenario():
        store, nodes = await ready_fleet()
        for base in range(1, 6):
            await accept(store, nodes, '0', base, 20 + base)
        state = nodes.followers['0'].state
        state.changes.clear()
        store.before_call = _always_down
        nodes.report_version('0', '1')
        await nodes.followers['1'].step(1)
        return nodes.followers['1']

    follower = asyncio.run(scenario())
    assert follower.version == 6
    held = follower.accepted.document['services']
    assert held['bookings']['slots'] == 25


def test_poller_finds_unreported_version():
    """Pollers find a version in the store that no node reported.

    This happens if the node that accepted it dies at once.
    """

    async def scenario():
        store, nodes = await ready_fleet()
        await publish(store, submission(1, 'late', 12))
        nodes.pollers.add('2')
        for name in ALL_NODES:
            await nodes.followers[name].step(2)
        nodes.report_version('2', '1')
        store.before_call = _always_down
        await nodes.followers['1'].step(3)
        return nodes

    nodes = asyncio.run(scenario())
    found = [nodes.followers[name].version for name in ALL_NODES]
    assert found == [1, 2, 2, 1]


def test_only_pollers_read_head_every_second():
    """Only pollers read the head every second; other nodes read it rarely."""

    async def scenario():
        store, nodes = await ready_fleet()
        nodes.pollers.add('2')
        before = store.read_count
        for second in range(100):
            for name in ALL_NODES:
                await nodes.followers[name].step(second)
        return store.read_count - before

    assert asyncio.run(scenario()) <= 100 + NODE_COUNT


@params(
    # The reporting nodes; even and odd numbers are the two zones.
    ((), 0),
    (('2',), 0),
    (('0', '2'), 0),
    (('0', '1', '2'), 1),
)
def test_start_with_store_down_needs_both_zones(reporting, expected):
    """With the store down, a start needs reports of nodes in both zones."""

    async def scenario():
        store, nodes = await ready_fleet()
        store.before_call = _always_down
        fleet = Nodes(store, NODE_COUNT)
        fleet.followers.update(
            {name: nodes.followers[name] for name in ALL_NODES[:3]},
        )
        for sender in reporting:
            fleet.report_version(sender, '3')
        await fleet.followers['3'].step(0)
        return fleet.followers['3'].version

    assert asyncio.run(scenario()) == expected


def test_start_with_stale_store_waits_for_report():
    """A head from before the last write is not put in force.

    The store may return it, so a starting node waits for a live node.
    """

    async def scenario():
        store, nodes = await ready_fleet()
        await accept(store, nodes, '0', 1, 12)
        store.earlier_rows = [{**store.earlier_rows[-1]}]
        store.before_call = _stale_reads
        fleet = Nodes(store, NODE_COUNT)
        fleet.followers['0'] = nodes.followers['0']
        starting = fleet.followers['3']
        starting.peer_access = starting.peer_access._replace(
            expects_report=lambda: True
        )
        seen = []
        for second in range(3):
            await starting.step(second)
            seen.append(starting.version)
        fleet.report_version('0', '3')
        await starting.step(3)
        await starting.step(4)
        return [*seen, starting.version]

    assert asyncio.run(scenario()) == [0, 0, 0, 2]


@params((4, 0), (6, 1))
def test_start_without_reports_times_out_to_store(second, version):
    """Without a report, the version in the store is used after the timeout."""

    async def scenario():
        store, _ = await ready_fleet()
        starting = Nodes(store, NODE_COUNT).followers['3']
        starting.peer_access = starting.peer_access._replace(
            expects_report=lambda: True
        )
        await starting.step(0)
        await starting.step(second)
        return starting.version

    assert asyncio.run(scenario()) == version


def test_start_never_applies_version_below_head():
    """A starting node that read the head never puts an older version in force.

    Here a live node still has the older one, and the pieces of the newer
    cannot be read at first.
    """

    async def scenario():
        store, nodes = await ready_fleet()
        fleet = Nodes(store, NODE_COUNT)
        fleet.followers['0'] = nodes.followers['0']
        await publish(store, submission(1, 'late', 12))
        bodies = dict(store.objects)
        store.objects.clear()
        starting = fleet.followers['3']
        await starting.step(0)
        fleet.report_version('0', '3')
        await starting.step(1)
        before = starting.version
        store.objects.update(bodies)
        await starting.step(2)
        return before, starting.version

    assert asyncio.run(scenario()) == (0, 2)


def test_other_service_is_fetched_on_demand():
    """A node fetches another service only when its declaration is needed."""

    async def scenario():
        store, nodes = await ready_fleet()
        follower = nodes.followers['1']
        before = set(follower.accepted.document['services'])
        found = await follower.find_service('media')
        missing = await follower.find_service('unheard-of')
        after = set(follower.accepted.document['services'])
        return before, found, missing, after

    before, found, missing, after = asyncio.run(scenario())
    assert before == {'bookings'}
    assert found['slots'] == 4
    assert missing is None
    assert after == {'bookings', 'media'}


class SpreadingVersions(RuleBasedStateMachine):
    """Nodes that report and catch up in any order, over a faulty store."""

    def __init__(self):
        """Start with version 1 in force everywhere."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        fleet = self.loop.run_until_complete(ready_fleet())
        self.store = fleet[0]
        self.nodes = fleet[1]
        self.now_s = 0
        self.accepted = 1
        self.seen = dict.fromkeys(ALL_NODES, 1)

    @rule(name=st.sampled_from(ALL_NODES), slots=st.integers(1, 99))
    def accept(self, name, slots):
        """Accept the next version through a node."""
        self.store.before_call = _no_faults
        self.loop.run_until_complete(
            accept(self.store, self.nodes, name, self.accepted, slots),
        )
        self.accepted += 1

    @rule(
        sender=st.sampled_from(ALL_NODES), receiver=st.sampled_from(ALL_NODES)
    )
    def report_version(self, sender, receiver):
        """Deliver the version of one node to another."""
        self.nodes.report_version(sender, receiver)

    @rule(
        name=st.sampled_from(ALL_NODES),
        how=st.sampled_from(['ok', 'down', 'stale']),
        polls=st.booleans(),
    )
    def step(self, name, how, polls):
        """Run a step of one node while the store is in some state."""

        async def before_call(_):
            return how

        self.store.before_call = before_call
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
        self.store.before_call = _no_faults
        self.nodes.pollers = set(ALL_NODES)
        for follower in self.nodes.followers.values():
            self.loop.run_until_complete(follower.step(self.now_s + 1))
        assert versions_in_force(self.nodes) == {self.accepted}
        self.loop.close()


def test_versions_in_force_never_fall():
    """No order of reports, polls and store faults makes a version fall."""
    run_state_machine_as_test(
        SpreadingVersions,
        settings=settings(
            derandomize=True,
            max_examples=40,
            stateful_step_count=30,
            deadline=None,
        ),
    )
