"""Why a request went as it did, from a bounded record in memory.

Every request notes its steps as it goes; at its end the record of a bad one
is kept and that of a good one is kept by sample.
"""

from carobmoor.explain._messages import (
    Note,
    RequestRecord,
    decode_record,
    render_records,
)
from carobmoor.explain._state import (
    RecordState,
    find_record,
    is_sampled,
    keep_record,
    recent_bad,
)

__all__ = [
    'Note',
    'RecordState',
    'RequestRecord',
    'decode_record',
    'find_record',
    'is_sampled',
    'keep_record',
    'recent_bad',
    'render_records',
]
