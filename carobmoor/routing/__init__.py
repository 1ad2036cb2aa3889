"""Which owner node a request is sent to, chosen on stale reports.

The decisions are plain functions over `RoutingState`, a passed-in time and
random source.
"""

from carobmoor.routing._choose import choose
from carobmoor.routing._messages import (
    REPORT_HEADER,
    Candidate,
    LoadReport,
    decode_report,
    encode_report,
)
from carobmoor.routing._state import (
    RoutingState,
    call_ended,
    call_started,
    keep_candidates,
    note_report,
)

__all__ = [
    'REPORT_HEADER',
    'Candidate',
    'LoadReport',
    'RoutingState',
    'call_ended',
    'call_started',
    'choose',
    'decode_report',
    'encode_report',
    'keep_candidates',
    'note_report',
]
