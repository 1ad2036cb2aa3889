"""Error-budget burn for each rank of each service.

An objective of 0.99 leaves an error budget of one bad answer in a hundred.
The burn rate is the share of bad answers in a window divided by that budget.
At a rate of 1 the budget lasts exactly the period of the objective; at 14 a
budget for thirty days is used up in two.
"""

from carobmoor.burn._causes import (
    Timing,
    attribute_failure,
    attribute_late_answer,
)
from carobmoor.burn._messages import (
    Cause,
    Objective,
    RankBurn,
    Snapshot,
    WindowBurn,
    decode_snapshots,
)
from carobmoor.burn._report import calculate_rank_burn, merge_snapshots
from carobmoor.burn._state import (
    BurnState,
    record_answer,
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
    'attribute_failure',
    'attribute_late_answer',
    'calculate_rank_burn',
    'decode_snapshots',
    'merge_snapshots',
    'record_answer',
    'recorded_services',
    'take_snapshots',
]
