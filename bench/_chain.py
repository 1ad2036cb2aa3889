"""A fake chain of services: each layer calls the next one for every call.

Each layer runs the budgets of `carobmoor.retries` and the verdicts of
`carobmoor.client`; calls are followed to their end one after the other.
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

Sent = Result[Answer, Failure]
# Whether the bottom fails a call, by the chain's number and a drawn number.
Fails = Callable[[int, float], bool]


class ChainRun(NamedTuple):
    """What a run of a chain sent."""

    offered: int
    answered: int
    # Calls sent into each layer, the top first.
    sent: Sequence[int]
    # Calls sent into each layer, over those that the layer above was asked.
    most_per_layer: float


class FakeHead(NamedTuple):
    """The head of a fake answer."""

    status: int


class FakeAnswer:
    """An answer with a status and nothing else."""

    def __init__(self, status: int) -> None:
        """Answer with a status."""
        self.head = FakeHead(status)


class Chain:
    """The layers of a chain, each with its budgets."""

    def __init__(
        self,
        depth: int,
        policy: RetryPolicy,
        fails: Fails,
        seed: int,
        has_budgets: bool,
    ) -> None:
        """Start with every budget at its reserve."""
        self.layers = [RetryState(policy) for _ in range(depth)]
        self.asked = [0 for _ in range(depth)]
        self.sent = [0 for _ in range(depth)]
        self.most_retries = policy.most_retries
        self.fails = fails
        self.rng = random.Random(seed)
        self.has_budgets = has_budgets
        self.number = 0

    def run(self, calls: int) -> ChainRun:
        """Send calls into the top and follow each to its end."""
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
        """Make one call from a layer into the next, with its retries."""
        state = self.layers[layer]
        self.asked[layer] += 1
        record_call(state, 'next', call.attempt)
        sent = self.send(layer, call)
        while self._may_go_on(layer, call, sent):
            call = call._replace(
                attempt=call.attempt + 1,
                retries_left=(call.retries_left or 0) - 1,
            )
            sent = self.send(layer, call)
        if sent.ok_value.head.status < 500:
            record_success(state, 'next', '', call.attempt, _LATENCY_S)
        return sent

    def send(self, layer: int, call: Call) -> Sent:
        """Send one attempt; the bottom answers, the others call on."""
        self.sent[layer] += 1
        if layer + 1 < len(self.layers):
            # Without budgets nothing of the chain travels either.
            child = call
            if not self.has_budgets:
                child = call._replace(retries_left=self.most_retries)
            return self.call(layer + 1, child)
        failed = self.fails(self.number, self.rng.random())
        return Ok(FakeAnswer(500 if failed else 200))  # type: ignore[arg-type]

    def _may_go_on(self, layer: int, call: Call, sent: Sent) -> bool:
        left = call.retries_left or 0
        if follow_up_of(call, sent) is FollowUp.DONE or not left:
            return False
        if not self.has_budgets:
            return True
        return take_retry(self.layers[layer], 'next')
