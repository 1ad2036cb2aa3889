"""In-memory records that explain how requests were processed.

Every request collects its steps. At its end the record is kept if the request
was bad (it failed or missed its target latency); of good requests only a
sample is kept. The number of records is bounded.
"""

from carobmoor.explain._messages import (
    RequestRecord,
    RequestStep,
    decode_record,
    render_records,
)
from carobmoor.explain._state import (
    RecordState,
    find_record,
    is_sampled,
    keep_record,
    list_bad_records,
)

__all__ = [
    'RecordState',
    'RequestRecord',
    'RequestStep',
    'decode_record',
    'find_record',
    'is_sampled',
    'keep_record',
    'list_bad_records',
    'render_records',
]
