"""The decisions that an owner stores for the requests it has seen."""

import asyncio
import secrets
from collections import OrderedDict, deque
from typing import Final, NamedTuple

from carobmoor.outcomes import Failure
from carobmoor.tickets._messages import (
    PresentedRequest,
    Progress,
    StoredAnswer,
    TicketGrant,
    TicketPolicy,
)
from carobmoor.tickets._mint import grant_key

_SECRET_BYTES: Final = 32
_INCARNATION_BYTES: Final = 16
_MS_PER_S: Final = 1000


class Epoch(NamedTuple):
    """A numbered period of the owner's clock and the key of its tickets."""

    number: int
    started_s: float
    key: str


class Decision:
    """The state of one request id that was started; copies wait on it."""

    __slots__ = (
        'answer',
        'attempt',
        'epoch',
        'failure',
        'presented',
        'progress',
        'waiters',
    )

    def __init__(
        self, presented: PresentedRequest, epoch: int, attempt: int
    ) -> None:
        """Start as running."""
        self.presented = presented
        self.epoch = epoch
        self.attempt = attempt
        self.progress = Progress.RUNNING
        self.answer: StoredAnswer | None = None
        self.failure: Failure | None = None
        self.waiters: list[asyncio.Future[None]] = []


class Start(NamedTuple):
    """The owner must run the request and call `record_outcome` when it ends."""

    decision: Decision


class Wait(NamedTuple):
    """The request is a copy of a running one and shares its outcome."""

    decision: Decision


class Told(NamedTuple):
    """The request must not run; holds the stored answer or a failure."""

    outcome: StoredAnswer | Failure


Verdict = Start | Wait | Told


class TicketTable:
    """The decisions of one incarnation of an owner.

    Only functions of this package modify it, and never across an await. It
    contains every request that was started under an epoch still accepted.
    """

    def __init__(
        self,
        owner: str,
        policy: TicketPolicy,
        now_s: float,
    ) -> None:
        """Start a new incarnation with its own secret and first epoch."""
        self.owner = owner
        self.policy = policy
        self.incarnation = secrets.token_urlsafe(_INCARNATION_BYTES)
        self.decisions: dict[str, Decision] = {}
        # Request ids by the epoch that their decisions expire with.
        self.request_ids_by_epoch: dict[int, list[str]] = {}
        # Size in bytes of each stored answer by request id, oldest first.
        self.stored_answer_sizes: OrderedDict[str, int] = OrderedDict()
        self.stored_answers_bytes = 0
        # New requests are refused in epochs up to this one.
        self.last_closed_epoch = 0
        self.epochs: deque[Epoch] = deque()
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self.open_epoch(now_s)

    @property
    def lifetime_s(self) -> float:
        """How long tickets of an epoch are accepted, from its start."""
        return self.policy.epoch_ms * self.policy.lifetime_epochs / _MS_PER_S

    @property
    def current_epoch(self) -> Epoch:
        """The epoch that new tickets are minted under."""
        return self.epochs[-1]

    @property
    def is_full(self) -> bool:
        """Whether the table has reached its maximum number of decisions."""
        return len(self.decisions) >= self.policy.max_decisions

    def open_epoch(self, now_s: float) -> None:
        """Start the next epoch, with a number and a key of its own."""
        number = self.epochs[-1].number + 1 if self.epochs else 1
        key = grant_key(self._secret, self.incarnation, number)
        self.epochs.append(Epoch(number, now_s, key))
        self.request_ids_by_epoch[number] = []

    def accepted_epoch(self, number: int) -> Epoch | None:
        """Return an epoch, or `None` if its tickets are not accepted."""
        offset = number - self.epochs[0].number
        if 0 <= offset < len(self.epochs):
            return self.epochs[offset]
        return None

    def epoch_key(self, number: int) -> str:
        """Return the key of an epoch, also of one that has expired."""
        epoch = self.accepted_epoch(number)
        if epoch is not None:
            return epoch.key
        return grant_key(self._secret, self.incarnation, number)

    def grant(self, now_s: float) -> TicketGrant:
        """Return a grant for the current epoch."""
        epoch = self.current_epoch
        remaining_s = epoch.started_s + self.lifetime_s - now_s
        remaining_ms = max(0, int(remaining_s * _MS_PER_S))
        return TicketGrant(
            self.owner,
            self.incarnation,
            epoch.number,
            remaining_ms,
            epoch.key,
        )
