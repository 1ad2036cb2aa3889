"""Choosing the owner node for a request from load reports that may be stale.

The decisions are plain functions of a `RoutingState`; the time and the random
source are passed in.
"""

from carobmoor.routing._choose import choose, note_paid_answer
from carobmoor.routing._eject import max_ejected
from carobmoor.routing._messages import (
    REPORT_HEADER,
    CallEnd,
    Candidate,
    ChoiceQuery,
    LoadReport,
    Outcome,
    decode_report,
    encode_report,
)
from carobmoor.routing._observations import (
    call_ended,
    call_started,
    note_report,
)
from carobmoor.routing._policy import DEFAULT_ROUTING_POLICY, RoutingPolicy
from carobmoor.routing._probes import ProbeBudget, next_probe, probe_ended
from carobmoor.routing._record import (
    BackendRecord,
    note_served,
    outcome_age_ms,
    service_time_us,
    success_permille,
)
from carobmoor.routing._state import (
    FAR,
    HERE,
    NEAR,
    CandidateState,
    RoutingState,
    ServiceState,
    keep_candidates,
)
from carobmoor.routing._success_rate import SuccessRate

__all__ = [
    'SuccessRate',
    'FAR',
    'HERE',
    'NEAR',
    'DEFAULT_ROUTING_POLICY',
    'REPORT_HEADER',
    'BackendRecord',
    'CallEnd',
    'Candidate',
    'CandidateState',
    'ChoiceQuery',
    'LoadReport',
    'Outcome',
    'ProbeBudget',
    'RoutingPolicy',
    'RoutingState',
    'ServiceState',
    'call_ended',
    'call_started',
    'choose',
    'decode_report',
    'encode_report',
    'keep_candidates',
    'max_ejected',
    'next_probe',
    'note_paid_answer',
    'note_report',
    'note_served',
    'outcome_age_ms',
    'probe_ended',
    'service_time_us',
    'success_permille',
]
