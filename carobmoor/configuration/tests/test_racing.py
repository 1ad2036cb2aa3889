"""Property tests of operators who publish concurrently over a faulty store."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from carobmoor.configuration._publish import publish
from carobmoor.configuration._store import read_head, read_history
from carobmoor.configuration.tests.fixtures import (
    submission,
    without_read_back_waits,
)
from carobmoor.store.tests.fixtures import FakeStore, script_outcomes

_IDLE_TURNS = 60


class RacingOperators(RuleBasedStateMachine):
    """Operators whose store calls are completed one at a time, in any order."""

    def __init__(self):
        """Start with an empty store."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = FakeStore()
        self.store.before_call = self.wait_for_turn
        self.waiting = []
        self.tasks = {}
        self.submitted = {}
        self.accepted = {}
        self.started = 0
        self.version = 0

    async def wait_for_turn(self, kind):
        """Hold a store call until a rule completes it."""
        turn = self.loop.create_future()
        self.waiting.append((kind, turn))
        return await turn

    def publish(self, each):
        """Start publishing a submission."""
        task = self.loop.create_task(publish(self.store, each))
        self.tasks[each.submission_id] = task
        self.run_until_idle()

    def run_until_idle(self):
        """Run until every task waits for the store, then collect outcomes."""

        async def idle():
            for _ in range(_IDLE_TURNS):
                await asyncio.sleep(0)

        with without_read_back_waits():
            self.loop.run_until_complete(idle())
        ended = [each for each, task in self.tasks.items() if task.done()]
        for submission_id in ended:
            outcome = self.tasks.pop(submission_id).result()
            if outcome.is_ok():
                head = outcome.unwrap().head
                self.accepted.setdefault(submission_id, set()).add(head)

    @precondition(lambda machine: len(machine.tasks) < 3)
    @rule(offset=st.integers(-1, 0), slots=st.integers(1, 30))
    def submit(self, offset, slots):
        """Submit on top of the latest version or the one before."""
        self.started += 1
        base = max(0, self.version + offset)
        each = submission(base, f'id-{self.started}', slots)
        self.submitted[each.submission_id] = each
        self.publish(each)

    @precondition(lambda machine: machine.submitted)
    @rule(data=st.data())
    def submit_again(self, data):
        """Submit again with an id that was used before."""
        ordered = sorted(self.submitted)
        submission_id = data.draw(st.sampled_from(ordered))
        if submission_id not in self.tasks:
            self.publish(self.submitted[submission_id])

    @precondition(lambda machine: machine.waiting)
    @rule(
        data=st.data(),
        how=st.sampled_from(['ok', 'ok', 'ok', 'down', 'lost', 'stale']),
    )
    def complete_one_call(self, data, how):
        """Complete one waiting store call with any outcome."""
        position = data.draw(st.integers(0, len(self.waiting) - 1))
        _, turn = self.waiting.pop(position)
        turn.set_result(how)
        self.run_until_idle()

    @precondition(lambda machine: machine.waiting)
    @rule(count=st.integers(5, 15))
    def complete_calls(self, count):
        """Complete some waiting store calls without faults."""
        for _ in range(count):
            if self.waiting:
                self.waiting.pop(0)[1].set_result('ok')
                self.run_until_idle()

    @invariant()
    def versions_never_fall(self):
        """The version of the head never falls and rises by at most one."""
        self.store.before_call = script_outcomes()
        head = self.loop.run_until_complete(read_head(self.store))
        self.store.before_call = self.wait_for_turn
        version = head.unwrap().version
        assert self.version <= version <= self.version + 1
        self.version = version

    @invariant()
    def nothing_accepted_is_lost(self):
        """Whatever was reported as accepted is in the history exactly once."""
        self.store.before_call = script_outcomes()
        read = self.loop.run_until_complete(read_history(self.store))
        self.store.before_call = self.wait_for_turn
        heads = read.unwrap()
        versions = [head.version for head in heads]
        ids = [head.submission_id for head in heads]
        assert versions == list(range(1, len(heads) + 1))
        assert len(set(ids)) == len(ids)
        for heads_of_submission in self.accepted.values():
            assert len(heads_of_submission) == 1
            assert heads_of_submission <= set(heads)

    def teardown(self):
        """Cancel the tasks that are still running."""
        for task in self.tasks.values():
            task.cancel()
        if self.tasks:
            self.loop.run_until_complete(asyncio.wait(self.tasks.values()))
        self.loop.close()


def test_racing_operators_lose_no_version():
    """No order of calls, lost answers and stale reads loses a version."""
    run_state_machine_as_test(
        RacingOperators,
        settings=settings(
            derandomize=True,
            max_examples=60,
            stateful_step_count=40,
            deadline=None,
        ),
    )
