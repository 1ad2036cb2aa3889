"""Service-level burn: how fast each rank of each service spends its budget.

An objective of 0.99 leaves a budget of one bad answer in a hundred. The burn
rate is the share of bad answers over a window divided by that budget: at 1
the budget lasts just as long as the objective's period, at 14 it is gone in
two days of thirty.
"""

from carobmoor.burn._causes import Timing, cause_of_failure, cause_of_lateness
from carobmoor.burn._messages import (
    Cause,
    Objective,
    RankBurn,
    Snapshot,
    WindowBurn,
    decode_snapshots,
)
from carobmoor.burn._report import judge, merge_snapshots
from carobmoor.burn._state import (
    BurnState,
    record,
    recorded_services,
    take_snapshots,
)

__all__ = [
    'BurnState',
    'Cause',
    'Objective',
    'RankBurn',
    'Snapshot',
    'Timing',
    'WindowBurn',
    'cause_of_failure',
    'cause_of_lateness',
    'decode_snapshots',
    'judge',
    'merge_snapshots',
    'record',
    'recorded_services',
    'take_snapshots',
]
