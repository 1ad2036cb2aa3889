"""A simulated chain of services in which each layer calls the next one.

Each layer uses the retry budgets of `carobmoor.retries` and the retry decisions
of `carobmoor.client`. Calls run to completion one after the other.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Ok, Result

from carobmoor.client._messages import Call
from carobmoor.client._verdict import Next, next_step
from carobmoor.outcomes import Failure
from carobmoor.retries import (
    RetryPolicy,
    RetryState,
    call_offered,
    call_succeeded,
    take_retry,
)
from carobmoor.transport import Answer

_LATENCY_S = 0.01

Sent = Result[Answer, Failure]
# Whether the last layer fails an attempt, by the number of the call into the
# first layer and a random number below 1.
Fails = Callable[[int, float], bool]


class ChainRun(NamedTuple):
    """Number of calls in one run of a chain."""

    offered: int
    answered: int
    # Attempts sent by each layer, the first layer first.
    sent: Sequence[int]
    # Attempts sent per call that a layer was to make, in the worst layer.
    most_per_layer: float


class FakeHead(NamedTuple):
    """Head of a fake answer."""

    status: int


class FakeAnswer:
    """A fake answer that has only a status."""

    def __init__(self, status: int) -> None:
        """Set the status."""
        self.head = FakeHead(status)


class Chain:
    """The layers of a chain, each with its own retry budgets."""

    def __init__(
        self,
        depth: int,
        policy: RetryPolicy,
        fails: Fails,
        seed: int,
        has_budgets: bool,
    ) -> None:
        """Create the layers, with every budget at its reserve."""
        self.layers = [RetryState(policy) for _ in range(depth)]
        self.asked = [0 for _ in range(depth)]
        self.sent = [0 for _ in range(depth)]
        self.most_retries = policy.most_retries
        self.fails = fails
        self.rng = random.Random(seed)
        self.has_budgets = has_budgets
        self.number = 0

    def run(self, calls: int) -> ChainRun:
        """Send calls into the first layer, one after the other."""
        answered = 0
        for number in range(calls):
            self.number = number
            call = Call('next', 'GET', '/', repeatable=True)
            call = call._replace(retries_left=self.most_retries)
            answered += self.call(0, call).ok_value.head.status < 500
        per_layer = max(
            sent / asked
            for sent, asked in zip(self.sent, self.asked, strict=True)
        )
        return ChainRun(calls, answered, self.sent, per_layer)

    def call(self, layer: int, call: Call) -> Sent:
        """Make one call from a layer into the next one, with its retries."""
        state = self.layers[layer]
        self.asked[layer] += 1
        call_offered(state, 'next', call.attempt)
        sent = self.send(layer, call)
        while self._may_go_on(layer, call, sent):
            call = call._replace(
                attempt=call.attempt + 1,
                retries_left=(call.retries_left or 0) - 1,
            )
            sent = self.send(layer, call)
        if sent.ok_value.head.status < 500:
            call_succeeded(state, 'next', '', call.attempt, _LATENCY_S)
        return sent

    def send(self, layer: int, call: Call) -> Sent:
        """Send one attempt: the last layer answers, others call the next."""
        self.sent[layer] += 1
        if layer + 1 < len(self.layers):
            # Without budgets the retries left are not passed down either.
            child = call
            if not self.has_budgets:
                child = call._replace(retries_left=self.most_retries)
            return self.call(layer + 1, child)
        failed = self.fails(self.number, self.rng.random())
        return Ok(FakeAnswer(500 if failed else 200))  # type: ignore[arg-type]

    def _may_go_on(self, layer: int, call: Call, sent: Sent) -> bool:
        left = call.retries_left or 0
        if next_step(call, sent) is Next.DONE or not left:
            return False
        if not self.has_budgets:
            return True
        return take_retry(self.layers[layer], 'next')
