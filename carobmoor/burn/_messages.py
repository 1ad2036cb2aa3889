"""Types for the counts of answers: stored, sent between nodes, reported."""

import enum
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from carobmoor.decoding import decoder_of


class Cause(enum.StrEnum):
    """Why an answer was bad and used up error budget."""

    QUEUEING = 'queueing'
    BACKEND_SERVER = 'backend_server'
    REFUSAL = 'refusal'
    LINK = 'link'
    STRAGGLER = 'straggler'


class Objective(NamedTuple):
    """Service-level objective of one rank of one service."""

    service: str
    rank: str
    target_latency_ms: int
    # Share of answers that should arrive within the target latency.
    objective: float


class MinuteCount(NamedTuple):
    """Counts of good and bad answers in one minute."""

    # Minutes since the Unix epoch, so that counts of several nodes align.
    minute: int
    good: int
    # Counts by cause.
    bad: Mapping[str, int]


class Snapshot(NamedTuple):
    """Counts for one rank of a service, of one node or several merged."""

    objective: Objective
    minutes: Sequence[MinuteCount]
    # HDR histogram of latencies in microseconds, compressed, in base64.
    latency_us: str


class WindowBurn(NamedTuple):
    """Burn over a window that ends now."""

    window_min: int
    good: int
    bad: int
    burn_rate: float


class RankBurn(NamedTuple):
    """Burn report of one rank of one service."""

    objective: Objective
    windows: Sequence[WindowBurn]
    # Remaining share of the longest window's budget; negative if overspent.
    budget_remaining: float
    bad_by_cause: Mapping[str, int]
    p50_ms: float
    p99_ms: float
    # Each minute with its burn rate, oldest first.
    rate_by_minute: Sequence[tuple[int, float]]


_decode: Final = decoder_of(list[Snapshot])


def decode_snapshots(body: bytes) -> Sequence[Snapshot]:
    """Decode snapshots from JSON; raises `msgspec.DecodeError`."""
    return _decode(body)
