"""Invariants under any order of arrivals, finishes, pauses and withdrawals."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from carobmoor.admission import withdraw
from carobmoor.admission.tests.fixtures import RANKS, Desk, arrival, policy

BOUNDED = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
)
SMALL = policy(slots=4, queue_limit=12)
MOST_IDLE_ROUNDS = 200


class Admission(RuleBasedStateMachine):
    """Admission beside a record of the fate of each request."""

    def __init__(self):
        """Start idle."""
        super().__init__()
        self.desk = Desk(SMALL)
        self.gone = set()
        self.ran = set()

    @rule(
        rank=strategies.sampled_from([rank.name for rank in RANKS]),
        caller=strategies.sampled_from('abc'),
        depth=strategies.integers(0, 12),
        left_s=strategies.sampled_from((0.001, 0.05, 0.3, 60)),
    )
    def arrive(self, rank, caller, depth, left_s):
        """A request arrives."""
        deadline_s = self.desk.now_s + left_s
        self.desk.offer(arrival(rank, caller, depth, deadline_s))
        self.settle()

    @precondition(lambda machine: machine.desk.running)
    @rule(place=strategies.integers(0, 3), service_s=strategies.floats(0, 9))
    def end(self, place, service_s):
        """A running request finishes."""
        running = self.desk.running
        self.desk.finish(running[place % len(running)], service_s)
        self.settle()

    @rule(passed_s=strategies.sampled_from((0.001, 0.02, 0.2, 5)))
    def wait(self, passed_s):
        """Time passes, sometimes seconds at once."""
        self.desk.now_s += passed_s
        self.settle()

    @rule(place=strategies.integers(0, 30))
    def leave_queue(self, place):
        """A caller cancels; a request that doesn't wait is unaffected."""
        numbers = sorted(self.desk.arrivals)
        if numbers:
            number = numbers[place % len(numbers)]
            rank = self.desk.arrivals[number].rank
            if withdraw(self.desk.state, rank, number):
                assert number not in self.ran
                self.gone.add(number)

    @rule()
    def replace_policy(self):
        """The same policy is applied again."""
        self.desk.state.replace_policy(SMALL)

    def settle(self):
        """Let admission expire and start requests, and record those started."""
        self.desk.start()
        self.ran.update(self.desk.running)

    @invariant()
    def slots_hold(self):
        """No more requests run than there are slots, and the counts agree."""
        state = self.desk.state
        assert state.in_flight_total <= state.policy.slots
        assert set(state.running) == set(self.desk.running)
        held = sum(rank.in_flight for rank in state.ranks.values())
        assert held == len(self.desk.running)

    @invariant()
    def each_has_one_fate(self):
        """Every accepted request waits, ran, was withdrawn or was dropped.

        It is exactly one of these.
        """
        state = self.desk.state
        waiting = {
            number
            for number, wanted in self.desk.arrivals.items()
            if state.ranks[wanted.rank].queue.has(number)
        }
        fates = (waiting, self.ran, self.gone, set(self.desk.dropped))
        assert sum(map(len, fates)) == len(self.desk.arrivals)
        assert set().union(*fates) == set(self.desk.arrivals)
        assert len(waiting) == state.queued_total
        assert state.queued_total <= state.policy.queue_limit

    @invariant()
    def nothing_lapsed_waits(self):
        """After each step, no waiting request has passed its deadline."""
        self.settle()
        ranks = self.desk.state.ranks
        for number, wanted in self.desk.arrivals.items():
            if ranks[wanted.rank].queue.has(number):
                assert wanted.deadline_s > self.desk.now_s

    def teardown(self):
        """Check that no request starves: the queue drains as slots free up."""
        for _ in range(MOST_IDLE_ROUNDS):
            self.desk.now_s += 0.001
            if self.desk.running:
                self.desk.finish(self.desk.running[0], 0.001)
            self.settle()
        assert not self.desk.state.queued_total


def test_admission_invariants():
    """Slots are never exceeded, and no request is lost, doubled or starved."""
    run_state_machine_as_test(Admission, settings=BOUNDED)
