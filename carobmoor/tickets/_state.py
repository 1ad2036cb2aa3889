"""What an owner remembers of the requests that it has decided."""

import asyncio
import secrets
from collections import OrderedDict, deque
from typing import Final, NamedTuple

from carobmoor.outcomes import Failure
from carobmoor.tickets._messages import (
    Grant,
    KeptAnswer,
    Presented,
    Progress,
    TicketPolicy,
)
from carobmoor.tickets._mint import grant_key

_SECRET_BYTES: Final = 32
_INCARNATION_BYTES: Final = 16
_MS_PER_S: Final = 1000


class Epoch(NamedTuple):
    """A counted stretch of the owner's time, and the key of its tickets."""

    number: int
    started_s: float
    key: str


class Decision:
    """What was decided about one request id; copies wait on it."""

    __slots__ = (
        'answer',
        'attempt',
        'epoch',
        'failure',
        'presented',
        'progress',
        'waiters',
    )

    def __init__(self, presented: Presented, epoch: int, attempt: int) -> None:
        """Decide that the request may run."""
        self.presented = presented
        self.epoch = epoch
        self.attempt = attempt
        self.progress = Progress.RUNNING
        self.answer: KeptAnswer | None = None
        self.failure: Failure | None = None
        self.waiters: list[asyncio.Future[None]] = []


class Start(NamedTuple):
    """The order to run the request and to call `settle` in the end."""

    decision: Decision


class Wait(NamedTuple):
    """The request is a copy of one that runs; it shares its outcome."""

    decision: Decision


class Told(NamedTuple):
    """Nothing is to run: the kept answer or a failure."""

    outcome: KeptAnswer | Failure


Verdict = Start | Wait | Told


class TicketTable:
    """The decisions of one incarnation of an owner.

    Only the functions of this package change it, and never across an await.
    Every request that was started under an epoch still accepted is in it.
    """

    def __init__(
        self,
        owner: str,
        policy: TicketPolicy,
        now_s: float,
    ) -> None:
        """Begin an incarnation with a secret of its own."""
        self.owner = owner
        self.policy = policy
        self.incarnation = secrets.token_urlsafe(_INCARNATION_BYTES)
        self.decisions: dict[str, Decision] = {}
        # The request ids by the epoch under which they are remembered.
        self.filed: dict[int, list[str]] = {}
        # Decisions with a kept answer, oldest first.
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.kept_bytes = 0
        # No request unknown so far runs under an epoch up to this one.
        self.closed_through = 0
        self.epochs: deque[Epoch] = deque()
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self.open_epoch(now_s)

    @property
    def lifetime_s(self) -> float:
        """How long tickets of an epoch are accepted from its start on."""
        return self.policy.epoch_ms * self.policy.epochs / _MS_PER_S

    @property
    def newest(self) -> Epoch:
        """The epoch under which tickets are minted now."""
        return self.epochs[-1]

    @property
    def is_full(self) -> bool:
        """Whether no further request can be remembered."""
        return len(self.decisions) >= self.policy.most_decisions

    def open_epoch(self, now_s: float) -> None:
        """Begin the next epoch."""
        number = self.epochs[-1].number + 1 if self.epochs else 1
        key = grant_key(self._secret, self.incarnation, number)
        self.epochs.append(Epoch(number, now_s, key))
        self.filed[number] = []

    def accepted(self, number: int) -> Epoch | None:
        """Give an epoch whose tickets are still accepted."""
        offset = number - self.epochs[0].number
        if 0 <= offset < len(self.epochs):
            return self.epochs[offset]
        return None

    def key_of(self, number: int) -> str:
        """Give the key of an epoch, also of one that is over."""
        epoch = self.accepted(number)
        if epoch is not None:
            return epoch.key
        return grant_key(self._secret, self.incarnation, number)

    def grant(self, now_s: float) -> Grant:
        """Hand out the means to mint tickets of the newest epoch."""
        epoch = self.newest
        left_s = epoch.started_s + self.lifetime_s - now_s
        left_ms = max(0, int(left_s * _MS_PER_S))
        return Grant(
            self.owner,
            self.incarnation,
            epoch.number,
            left_ms,
            epoch.key,
        )
