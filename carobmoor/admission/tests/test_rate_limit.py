"""The rate limit that a backend server names, under random steps."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from carobmoor.admission import RateLimit, read_rate_limit, release_unused
from carobmoor.admission.tests.fixtures import RANKS, Desk, arrival, policy
from carobmoor.admission.tests.test_invariants import BOUNDED
from carobmoor.outcomes import Code

# The users' rule: in any four seconds one and a half times the limit, and five
# more, from when the limit was first passed on.
WINDOW_S = 4
FACTOR = 1.5
ALLOWANCE = 5
RATES_PER_S = (0.5, 2, 7.5, 40)


class LimitedServer(RuleBasedStateMachine):
    """A server that names limits and ends them, and its owner's admission."""

    def __init__(self):
        """Start without a limit."""
        super().__init__()
        self.desk = Desk(policy(slots=12))
        self.sent_at_s = {}
        # What the server names at this moment, if anything.
        self.limit_per_s = None
        self.server_run = 1
        # Whether an answer has named this limit to any start of the owner.
        self.is_known = False
        self.starts_s = []

    @rule(
        rank=strategies.sampled_from([rank.name for rank in RANKS]),
        count=strategies.integers(1, 30),
    )
    def arrive(self, rank, count):
        """Requests arrive at the same moment."""
        for _ in range(count):
            self.desk.offer(arrival(rank, deadline_s=self.desk.now_s + 60))
        self.settle()

    @precondition(lambda machine: machine.desk.running)
    @rule(place=strategies.integers(0, 11))
    def answer(self, place):
        """A running request is answered; the answer names the limit, if any."""
        running = self.desk.running
        number = running[place % len(running)]
        self.record(self.limit_per_s, self.sent_at_s[number])
        self.desk.finish(number)
        self.settle()

    @precondition(lambda machine: machine.desk.running)
    @rule(place=strategies.integers(0, 11))
    def fail(self, place):
        """A running request is reset without an answer."""
        running = self.desk.running
        self.desk.finish(running[place % len(running)])
        self.settle()

    @precondition(lambda machine: machine.desk.running)
    @rule()
    def give_back(self):
        """The last start turns out not to be sent."""
        number = self.desk.running.pop()
        if self.starts_s and self.sent_at_s[number] == self.starts_s[-1]:
            self.starts_s.pop()
        release_unused(self.desk.state, number, self.desk.now_s)
        self.settle()

    @rule(age_s=strategies.floats(0.01, 5))
    def delayed_answer(self, age_s):
        """An answer from before the limit arrives late.

        After a restart there is none, since its connection is gone.
        """
        if self.is_known and self.desk.state.rate_limit.per_s:
            self.desk.state.rate_limit.record_answer(
                None, self.known_at_s - age_s, self.desk.now_s
            )
            self.settle()

    @rule(passed_s=strategies.sampled_from((0.001, 0.02, 0.2, 1, 5)))
    def wait(self, passed_s):
        """Time passes, sometimes seconds at once."""
        self.desk.now_s += passed_s
        self.settle()

    @rule(limit_per_s=strategies.sampled_from((None, *RATES_PER_S)))
    def change_limit(self, limit_per_s):
        """The server names another limit from now on, or none."""
        if limit_per_s != self.limit_per_s:
            self.limit_per_s = limit_per_s
            self.is_known = False
            self.starts_s = []

    @rule()
    def announce(self):
        """The server announces itself to its owner, mostly once more."""
        self.desk.state.rate_limit.follow_server(
            str(self.server_run), self.desk.now_s
        )
        self.settle()

    @rule(limit_per_s=strategies.sampled_from((None, *RATES_PER_S)))
    def replace_server(self, limit_per_s):
        """Another run takes the place, in need or not, and announces itself."""
        self.server_run += 1
        self.limit_per_s = limit_per_s
        self.is_known = False
        self.starts_s = []
        self.announce()

    @rule()
    def restart_owner(self):
        """The owner is killed; what it knew and what it ran is gone."""
        now_s = self.desk.now_s
        self.desk = Desk(policy(slots=12))
        self.desk.now_s = now_s
        self.desk.state.rate_limit.expect_first_answer(now_s)
        self.sent_at_s = {}

    def record(self, limit_per_s, sent_at_s):
        """Hand the limit of an answer to the owner."""
        now_s = self.desk.now_s
        self.desk.state.rate_limit.record_answer(limit_per_s, sent_at_s, now_s)
        if limit_per_s is not None and not self.is_known:
            self.is_known = True
            self.known_at_s = now_s

    def settle(self):
        """Let admission start what it may, and record the starts."""
        self.desk.start()
        for number in self.desk.running:
            if number not in self.sent_at_s:
                self.sent_at_s[number] = self.desk.now_s
                if self.is_known:
                    self.starts_s.append(self.desk.now_s)

    @invariant()
    def limit_holds(self):
        """No window of four seconds has more starts than are allowed."""
        for first_s in self.starts_s:
            count = sum(
                first_s <= start_s < first_s + WINDOW_S
                for start_s in self.starts_s
            )
            allowed = FACTOR * self.limit_per_s * WINDOW_S + ALLOWANCE
            assert count <= allowed, (count, allowed)


# Guards against starts beyond the limit, whatever restarts, late answers,
# resets and unused starts come in between.
def test_limit_holds_under_random_steps():
    """The rule holds for every window and every limit that a server names."""
    run_state_machine_as_test(LimitedServer, settings=BOUNDED)


# Guards against a limited server that gets less than it takes.
@params(*RATES_PER_S)
def test_limit_is_used(per_s):
    """With enough requests, the server gets what it takes."""
    desk = Desk(policy(slots=100))
    desk.state.rate_limit.record_answer(per_s, 0, 0)
    for _ in range(int(per_s * 10) + 10):
        desk.offer(arrival('upload', deadline_s=1000))
    starts = 0
    for tick in range(2000):
        desk.now_s = tick * 0.005
        for number in desk.start():
            starts += 1
            desk.finish(number)
    assert per_s * 10 - 1 <= starts <= per_s * 10 + 1


# Guards against a request that waits although it can't start in time.
def test_unreachable_start_is_refused():
    """What the limit can't start before its deadline is refused on arrival."""
    desk = Desk()
    desk.state.rate_limit.record_answer(2, 0, 0)
    offered = [desk.offer(arrival(deadline_s=1.9)) for _ in range(6)]
    assert set(offered[3:]) == {Code.RATE_LIMITED}
    assert Code.RATE_LIMITED not in offered[:3]


# Guards against a request that is accepted, waits, and is refused when its
# turn has come.
@params(0.005, 0.0127, 0.02)
def test_accepted_request_starts(tick_s):
    """What is accepted is started, also if ticks come a little late."""
    for step in range(400):
        desk = Desk()
        desk.state.rate_limit.record_answer(5, 0, 0)
        request = arrival(deadline_s=0.8 + step * 0.0015)
        offered = [desk.offer(request) for _ in range(10)]
        accepted = [one for one in offered if not isinstance(one, Code)]
        while desk.now_s < request.deadline_s:
            desk.now_s += tick_s
            desk.start()
        assert desk.running == accepted, (request, desk.dropped)


# Guards against a limit that an answer from before it ends, or that malformed
# content names or ends.
def test_late_answer_does_not_end_limit():
    """Only an answer to a later request ends or raises a limit."""
    limit = RateLimit()
    assert limit.record_answer(5, 0, 1)
    assert not limit.record_answer(None, 0.5, 1.1)
    assert not limit.record_answer(9, 0.5, 1.2)
    assert limit.record_answer(3, 0.5, 1.3)
    assert limit.per_s == 3
    assert limit.record_answer(None, 1.4, 1.5)
    assert not limit.per_s


@params('', 'x', '-1', 'nan', 'inf', '1,5', '0x5')
def test_malformed_limit_is_none(content):
    """Content that names no rate is not taken for one."""
    assert read_rate_limit(content) is None


def test_another_run_has_named_no_limit():
    """A server that takes the place, or starts again, begins without one."""
    limit = RateLimit()
    limit.follow_server('i-1 5', 0)
    limit.record_answer(5, 0, 1)
    limit.follow_server('i-1 5', 2)
    assert limit.per_s == 5
    limit.follow_server('i-1 6', 3)
    assert not limit.per_s


# Guards against a server in need whose owner takes an answer of the run before
# for its own.
def test_answer_of_earlier_run_tells_nothing():
    """Starts stay few until an answer to a later request."""
    limit = RateLimit()
    limit.follow_server('i-1 5', 0)
    limit.record_answer(None, 1, 1)
    limit.follow_server('i-1 6', 3)
    limit.record_answer(None, 2, 3.1)
    assert not limit.is_known
    limit.record_answer(None, 3.1, 3.2)
    assert limit.is_known


# Guards against an owner that learns the limit of its server, then which server
# it is, and then sends it all that waits.
@params(None, 5)
def test_few_start_until_announced_server_answers(learned_per_s):
    """What was learned of a server not yet announced frees no starts."""
    desk = Desk(policy(slots=100))
    limit = desk.state.rate_limit
    limit.expect_first_answer(0)
    limit.record_answer(learned_per_s, 0, 0)
    limit.follow_server('i-1 5', 0)
    for _ in range(50):
        desk.offer(arrival('upload', deadline_s=1000))
    desk.start()
    assert 0 < len(desk.running) <= ALLOWANCE
