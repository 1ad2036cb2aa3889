"""Merging updates that arrive late, twice, in any order or not at all."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from carobmoor.membership._digest import BUCKET_COUNT, bucket_of, member_digest
from carobmoor.membership._merge import (
    DEAD_RETENTION_S,
    merge,
    remove_expired,
    set_own_status,
    suspect,
)
from carobmoor.membership._messages import MemberStatus
from carobmoor.membership.tests.fixtures import member, state_of

PROPERTY_SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)
ME = member(0)
UPDATES = st.builds(
    member,
    number=st.integers(1, 4),
    zone=st.sampled_from(['lagos-a', 'abuja-a']),
    incarnation=st.integers(1, 4),
    status=st.sampled_from(MemberStatus),
)


def members_after(*batches):
    """Return the members after merging some batches of updates."""
    state = state_of(ME)
    for updates in batches:
        merge(state, updates, 0)
    return state.members


@PROPERTY_SETTINGS
@given(st.lists(UPDATES), st.randoms())
def test_merge_ignores_order_and_repetition(updates, rng):
    """Merging is commutative, associative and idempotent."""
    shuffled = [*updates, *updates[: len(updates) // 2]]
    rng.shuffle(shuffled)
    split = len(shuffled) // 2
    in_parts = members_after(shuffled[:split], shuffled[split:])
    assert members_after(updates) == in_parts


@PROPERTY_SETTINGS
@given(st.lists(UPDATES))
def test_digests_match_recomputed_ones(updates):
    """Digests updated incrementally equal those computed from scratch."""
    state = state_of(ME)
    merge(state, updates, 0)
    expected = list(bytes(BUCKET_COUNT))
    for known in state.members.values():
        expected[bucket_of(known.address)] ^= member_digest(known)
    assert state.digests == expected


def test_late_update_does_not_revive_dead_member():
    """A dead incarnation stays dead; the next one is alive again."""
    state = state_of(ME, [member(1)])
    merge(state, [member(1, status=MemberStatus.DEAD)], 0)
    merge(state, [member(1), member(1, status=MemberStatus.SUSPECT)], 1)
    assert state.members[member(1).address].status is MemberStatus.DEAD
    merge(state, [member(1, incarnation=2)], 2)
    assert state.members[member(1).address].status is MemberStatus.ALIVE
    assert not state.dead_since_s


def test_dead_member_is_removed_after_retention():
    """A dead member is kept for a bounded time, then removed."""
    state = state_of(ME, [member(1, status=MemberStatus.DEAD)])
    remove_expired(state, DEAD_RETENTION_S - 1)
    assert member(1).address in state.members
    remove_expired(state, DEAD_RETENTION_S)
    assert list(state.members) == [ME.address]


def test_restarted_node_exceeds_known_incarnation():
    """A node restarted with its clock set back exceeds its old incarnation."""
    state = state_of(ME._replace(incarnation=5))
    merge(state, [ME._replace(incarnation=9, status=MemberStatus.DEAD)], 0)
    assert state.me.incarnation == 10
    assert state.me.status is MemberStatus.ALIVE


def test_outdated_node_is_sent_its_own_entry():
    """An update of an older incarnation marks the node to be sent the newer."""
    state = state_of(ME, [member(1, incarnation=9)])
    merge(state, [member(1, incarnation=3)], 0)
    assert state.outdated_nodes == {member(1).address}


class Refutation(RuleBasedStateMachine):
    """One node suspects another over a channel that loses and delays."""

    def __init__(self):
        """Start with the observer knowing the target."""
        super().__init__()
        self.target = state_of(member(1))
        self.observer = state_of(ME, [member(1)])
        self.last_incarnation = 1

    @rule()
    def suspect_target(self):
        """A probe goes unanswered."""
        suspect(self.observer, self.target.me.address, 0)

    @rule(status=st.sampled_from([MemberStatus.SUSPECT, MemberStatus.DEAD]))
    def deliver_to_target(self, status):
        """The suspicion arrives, possibly confirmed as a death by then."""
        known = self.observer.members[self.target.me.address]
        if known.status is not MemberStatus.ALIVE:
            merge(self.target, [known._replace(status=status)], 0)

    @rule()
    def deliver_to_observer(self):
        """The target's own entry arrives."""
        merge(self.observer, [self.target.me], 0)

    @rule()
    def announce_again(self):
        """The target announces its status again."""
        set_own_status(self.target, MemberStatus.ALIVE, 0)

    @invariant()
    def incarnation_rises_and_target_stays_alive(self):
        """Incarnations never fall, and the target stays alive to itself."""
        me = self.target.me
        assert me.incarnation >= self.last_incarnation
        assert me.status is MemberStatus.ALIVE
        self.last_incarnation = me.incarnation

    @invariant()
    def one_exchange_leaves_target_alive(self):
        """One delivery each of suspicion and refutation leaves it alive."""
        known = self.observer.members[self.target.me.address]
        target = state_of(self.target.me)
        merge(target, [known], 0)
        observer = state_of(ME, [known])
        merge(observer, [target.me], 0)
        assert observer.members[target.me.address].status is MemberStatus.ALIVE


def test_refutation_leaves_live_node_alive():
    """No order of suspicions and refutations leaves a live node dead."""
    run_state_machine_as_test(
        Refutation,
        settings=settings(
            derandomize=True,
            max_examples=60,
            stateful_step_count=20,
            deadline=None,
        ),
    )
