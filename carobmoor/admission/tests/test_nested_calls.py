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
        self.desk = Desk(policy(slots=SLOTS))
        self.parents = {}
        self.leaf_ends_ms = {}
        self.completed = 0
        self.seen = set()
        self.judged = set()

    def call(self, depth, deadline_s, parent):
        """Send one call of a chain; if it is refused, its parent fails."""
        caller = f'c{len(self.parents) % 5}'
        wanted = arrival(caller=caller, depth=depth, deadline_s=deadline_s)
        number = self.desk.offer(wanted)
        if isinstance(number, int):
            self.parents[number] = parent
        elif parent:
            self.end(parent, False)

    def end(self, number, is_whole):
        """Finish a call and all calls above it."""
        self.desk.finish(number, 0.005)
        parent = self.parents[number]
        if parent:
            self.end(parent, is_whole)
        else:
            self.completed += int(is_whole)

    def step(self, now_ms):
        """Advance to this millisecond."""
        self.desk.now_s = now_ms / 1000
        self.call(0, self.desk.now_s + DEADLINE_S, 0)
        over = [
            number
            for number, ends_ms in self.leaf_ends_ms.items()
            if ends_ms <= now_ms
        ]
        for number in over:
            del self.leaf_ends_ms[number]
            self.end(number, True)
        self.desk.start()
        self.go_deeper(now_ms)
        self.give_up()

    def go_deeper(self, now_ms):
        """Send the next call of each chain whose deepest call has started."""
        for number in tuple(self.desk.running):
            if number in self.seen:
                continue
            self.seen.add(number)
            started = self.desk.arrivals[number]
            if started.depth == LEAF_DEPTH:
                self.leaf_ends_ms[number] = now_ms + LEAF_MS
            else:
                self.call(started.depth + 1, started.deadline_s, number)

    def give_up(self):
        """Fail the chains whose deepest call was dropped from the queue."""
        for number in set(self.desk.dropped) - self.judged:
            self.judged.add(number)
            if self.parents[number]:
                self.end(self.parents[number], False)


def test_chains_do_not_block_each_other():
    """Chains complete at a steady rate once blocked ones were detected."""
    chains = Chains()
    for now_ms in range(RUN_MS):
        chains.step(now_ms)
    assert chains.completed > RUN_MS / LEAF_MS / 2
