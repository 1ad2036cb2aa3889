"""Test of call chains that return to the same service, on a manual clock.

Each call of a chain holds a slot until its deeper call has finished. Without
reserved slots the shallow calls take all of them and block each other.
"""

from carobmoor.admission.tests.fixtures import Desk, arrival, policy

SLOTS = 4
LEAF_DEPTH = 3
LEAF_MS = 5
DEADLINE_S = 0.5
RUN_MS = 8000


class Chains:
    """A flood of call chains that hold a slot at every depth."""

    def __init__(self):
        """Start without chains."""
        self.admission = Desk(policy(slots=SLOTS))
        self.parents = {}
        self.leaf_ends_ms = {}
        self.completed = 0
        self.descended = set()
        self.failed = set()

    def call(self, depth, deadline_s, parent):
        """Send one call of a chain; if it is refused, its parent fails."""
        caller = f'c{len(self.parents) % 5}'
        request = arrival(caller=caller, depth=depth, deadline_s=deadline_s)
        number = self.admission.offer(request)
        if isinstance(number, int):
            self.parents[number] = parent
        elif parent:
            self.finish_chain(parent, False)

    def finish_chain(self, number, is_complete):
        """Finish a call and all calls above it."""
        self.admission.finish(number, 0.005)
        parent = self.parents[number]
        if parent:
            self.finish_chain(parent, is_complete)
        else:
            self.completed += int(is_complete)

    def step(self, now_ms):
        """Advance to this millisecond."""
        self.admission.now_s = now_ms / 1000
        self.call(0, self.admission.now_s + DEADLINE_S, 0)
        ended = [
            number
            for number, ends_ms in self.leaf_ends_ms.items()
            if ends_ms <= now_ms
        ]
        for number in ended:
            del self.leaf_ends_ms[number]
            self.finish_chain(number, True)
        self.admission.start()
        self.send_deeper_calls(now_ms)
        self.fail_dropped_chains()

    def send_deeper_calls(self, now_ms):
        """Send the next call of each chain whose deepest call has started."""
        for number in tuple(self.admission.running):
            if number in self.descended:
                continue
            self.descended.add(number)
            started = self.admission.arrivals[number]
            if started.depth == LEAF_DEPTH:
                self.leaf_ends_ms[number] = now_ms + LEAF_MS
            else:
                self.call(started.depth + 1, started.deadline_s, number)

    def fail_dropped_chains(self):
        """Fail the chains whose deepest call was dropped from the queue."""
        for number in set(self.admission.dropped) - self.failed:
            self.failed.add(number)
            if self.parents[number]:
                self.finish_chain(self.parents[number], False)


def test_chains_do_not_block_each_other():
    """Chains complete at a steady rate once blocked ones were detected."""
    chains = Chains()
    for now_ms in range(RUN_MS):
        chains.step(now_ms)
    assert chains.completed > RUN_MS / LEAF_MS / 2
