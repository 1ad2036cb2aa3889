"""A simulated chain of services in which each layer calls the next one.

Each layer uses the retry budgets of `carobmoor.retries` and the retry decisions
of `carobmoor.client`. Calls run to completion one after the other.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Ok, Result

from carobmoor.client._attempt_results import FollowUp, follow_up_of
from carobmoor.client._messages import Call
from carobmoor.outcomes import Failure
from carobmoor.retries import (
    RetryPolicy,
    RetryState,
    record_call,
    record_success,
    take_retry,
)
from carobmoor.transport import Answer

_LATENCY_S = 0.01

AttemptResult = Result[Answer, Failure]
# Whether the last layer fails an attempt, by the number of the call into the
# first layer and a random number below 1.
FailurePredicate = Callable[[int, float], bool]


class ChainRun(NamedTuple):
    """Number of calls in one run of a chain."""

    offered: int
    answered: int
    # Attempts sent by each layer, the first layer first.
    attempts: Sequence[int]
    # Attempts sent per call that a layer was to make, in the worst layer.
    max_attempts_per_call: float


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
        is_failure: FailurePredicate,
        seed: int,
        has_budgets: bool,
    ) -> None:
        """Create the layers, with every budget at its reserve."""
        self.layers = [RetryState(policy) for _ in range(depth)]
        self.calls = [0 for _ in range(depth)]
        self.attempts = [0 for _ in range(depth)]
        self.max_retries = policy.most_retries
        self.is_failure = is_failure
        self.rng = random.Random(seed)
        self.has_budgets = has_budgets
        self.call_number = 0

    def run(self, calls: int) -> ChainRun:
        """Send calls into the first layer, one after the other."""
        answered = 0
        for call_number in range(calls):
            self.call_number = call_number
            call = Call('next', 'GET', '/', repeatable=True)
            call = call._replace(retries_left=self.max_retries)
            answered += self.call(0, call).ok_value.head.status < 500
        max_attempts_per_call = max(
            attempted / called
            for attempted, called in zip(self.attempts, self.calls, strict=True)
        )
        return ChainRun(calls, answered, self.attempts, max_attempts_per_call)

    def call(self, layer: int, call: Call) -> AttemptResult:
        """Make one call from a layer into the next one, with its retries."""
        state = self.layers[layer]
        self.calls[layer] += 1
        record_call(state, 'next', call.attempt)
        result = self.send(layer, call)
        while self._may_retry(layer, call, result):
            call = call._replace(
                attempt=call.attempt + 1,
                retries_left=(call.retries_left or 0) - 1,
            )
            result = self.send(layer, call)
        if result.ok_value.head.status < 500:
            record_success(state, 'next', '', call.attempt, _LATENCY_S)
        return result

    def send(self, layer: int, call: Call) -> AttemptResult:
        """Send one attempt: the last layer answers, others call the next."""
        self.attempts[layer] += 1
        if layer + 1 < len(self.layers):
            # Without budgets the retries left are not passed down either.
            next_call = call
            if not self.has_budgets:
                next_call = call._replace(retries_left=self.max_retries)
            return self.call(layer + 1, next_call)
        failed = self.is_failure(self.call_number, self.rng.random())
        return Ok(FakeAnswer(500 if failed else 200))  # type: ignore[arg-type]

    def _may_retry(self, layer: int, call: Call, result: AttemptResult) -> bool:
        retries_left = call.retries_left or 0
        if follow_up_of(call, result) is FollowUp.DONE or not retries_left:
            return False
        if not self.has_budgets:
            return True
        return take_retry(self.layers[layer], 'next')
