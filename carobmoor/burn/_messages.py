"""What is kept of answers, told between processes and reported."""

import enum
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

import msgspec


class Cause(enum.StrEnum):
    """What ate a piece of the budget."""

    QUEUEING = 'queueing'
    BACKEND_SERVER = 'backend_server'
    REFUSAL = 'refusal'
    LINK = 'link'
    STRAGGLER = 'straggler'


class Objective(NamedTuple):
    """What one rank of one service is to be answered by."""

    service: str
    rank: str
    target_latency_ms: int
    # The share of answers that should come within the target.
    objective: float


class MinuteCount(NamedTuple):
    """The answers of one minute."""

    # Minutes since the Unix epoch, so that nodes can be added up.
    minute: int
    good: int
    # By cause.
    bad: Mapping[str, int]


class Snapshot(NamedTuple):
    """What one node, or several added up, saw of one rank of a service."""

    objective: Objective
    minutes: Sequence[MinuteCount]
    # A compressed histogram of latencies in microseconds.
    latency_us: str


class WindowBurn(NamedTuple):
    """The burn over one window that ends now."""

    window_min: int
    good: int
    bad: int
    burn_rate: float


class RankBurn(NamedTuple):
    """The report on one rank of one service."""

    objective: Objective
    windows: Sequence[WindowBurn]
    # The share of the budget of the longest window that is left.
    budget_left: float
    bad_by_cause: Mapping[str, int]
    p50_ms: float
    p99_ms: float
    # The burn rate of each minute, oldest first, for the plot.
    rate_by_minute: Sequence[tuple[int, float]]


_decoder: Final = msgspec.json.Decoder(list[Snapshot])


def decode_snapshots(body: bytes) -> Sequence[Snapshot]:
    """Read snapshots; raises `msgspec.DecodeError`."""
    return _decoder.decode(body)
