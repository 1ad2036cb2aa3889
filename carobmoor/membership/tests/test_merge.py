"""Merging updates that arrive late, twice, in any order or not at all."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from carobmoor.membership._digest import BUCKETS, bucket_of, member_digest
from carobmoor.membership._merge import (
    DEAD_KEPT_S,
    declare_self,
    forget_old,
    merge,
    suspect,
)
from carobmoor.membership._messages import Standing
from carobmoor.membership.tests.fixtures import member, state_of

BOUNDED = settings(derandomize=True, max_examples=200, deadline=None)
ME = member(0)
NEWS = st.builds(
    member,
    number=st.integers(1, 4),
    zone=st.sampled_from(['lagos-a', 'abuja-a']),
    incarnation=st.integers(1, 4),
    standing=st.sampled_from(Standing),
)


def known_after(*batches):
    """Return the members after merging some batches of updates."""
    state = state_of(ME)
    for news in batches:
        merge(state, news, 0)
    return state.members


@BOUNDED
@given(st.lists(NEWS), st.randoms())
def test_order_and_repetition_change_nothing(news, rng):
    """Merging is commutative, associative and idempotent."""
    shuffled = [*news, *news[: len(news) // 2]]
    rng.shuffle(shuffled)
    split = len(shuffled) // 2
    in_parts = known_after(shuffled[:split], shuffled[split:])
    assert known_after(news) == in_parts


@BOUNDED
@given(st.lists(NEWS))
def test_digests_follow_the_members(news):
    """Digests updated incrementally equal those computed from scratch."""
    state = state_of(ME)
    merge(state, news, 0)
    expected = list(bytes(BUCKETS))
    for known in state.members.values():
        expected[bucket_of(known.address)] ^= member_digest(known)
    assert state.digests == expected


def test_death_is_not_undone_by_late_news():
    """A dead incarnation stays dead; the next one is alive again."""
    state = state_of(ME, [member(1)])
    merge(state, [member(1, standing=Standing.DEAD)], 0)
    merge(state, [member(1), member(1, standing=Standing.SUSPECT)], 1)
    assert state.members[member(1).address].standing is Standing.DEAD
    merge(state, [member(1, incarnation=2)], 2)
    assert state.members[member(1).address].standing is Standing.ALIVE
    assert not state.dead_since_s


def test_the_dead_are_forgotten_in_time():
    """A dead member is kept for a bounded time, then removed."""
    state = state_of(ME, [member(1, standing=Standing.DEAD)])
    forget_old(state, DEAD_KEPT_S - 1)
    assert member(1).address in state.members
    forget_old(state, DEAD_KEPT_S)
    assert list(state.members) == [ME.address]


def test_restart_after_clock_stepped_back():
    """A node that receives a later incarnation of itself exceeds it."""
    state = state_of(ME._replace(incarnation=5))
    merge(state, [ME._replace(incarnation=9, standing=Standing.DEAD)], 0)
    assert state.me.incarnation == 10
    assert state.me.standing is Standing.ALIVE


def test_older_start_is_told_what_is_known_of_it():
    """On an update of an older incarnation the node is sent the newer one."""
    state = state_of(ME, [member(1, incarnation=9)])
    merge(state, [member(1, incarnation=3)], 0)
    assert state.disputed == {member(1).address}


class Refutation(RuleBasedStateMachine):
    """One node suspects another over a channel that loses and delays."""

    def __init__(self):
        """Start with the accuser knowing the accused."""
        super().__init__()
        self.accused = state_of(member(1))
        self.accuser = state_of(ME, [member(1)])
        self.seen = 1

    @rule()
    def accuse(self):
        """A probe goes unanswered."""
        suspect(self.accuser, self.accused.me.address, 0)

    @rule(standing=st.sampled_from([Standing.SUSPECT, Standing.DEAD]))
    def tell_accused(self, standing):
        """The suspicion arrives, possibly confirmed as a death by then."""
        known = self.accuser.members[self.accused.me.address]
        if known.standing is not Standing.ALIVE:
            merge(self.accused, [known._replace(standing=standing)], 0)

    @rule()
    def tell_accuser(self):
        """The accused node's own entry arrives."""
        merge(self.accuser, [self.accused.me], 0)

    @rule()
    def change(self):
        """The accused announces its status again."""
        declare_self(self.accused, Standing.ALIVE, 0)

    @invariant()
    def holds(self):
        """Incarnations never fall, and the accused stays alive to itself."""
        me = self.accused.me
        assert me.incarnation >= self.seen
        assert me.standing is Standing.ALIVE
        self.seen = me.incarnation

    @invariant()
    def converges(self):
        """One delivery each of suspicion and refutation leaves it alive."""
        known = self.accuser.members[self.accused.me.address]
        accused = state_of(self.accused.me)
        merge(accused, [known], 0)
        accuser = state_of(ME, [known])
        merge(accuser, [accused.me], 0)
        assert accuser.members[accused.me.address].standing is Standing.ALIVE


def test_refutation_always_wins():
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
