"""Choosing the owner node for a request from load reports that may be stale.

The decisions are plain functions of a `RoutingState`; the time and the random
source are passed in.
"""

from carobmoor.routing._choose import charge_paid_response, choose
from carobmoor.routing._eject import max_ejected
from carobmoor.routing._messages import (
    REPORT_HEADER,
    CallOutcome,
    CallResult,
    Candidate,
    ChoiceQuery,
    LoadReport,
    decode_report,
    encode_report,
)
from carobmoor.routing._observations import (
    record_call_end,
    record_call_start,
    record_report,
)
from carobmoor.routing._policy import DEFAULT_ROUTING_POLICY, RoutingPolicy
from carobmoor.routing._probes import ProbeBudget, charge_probe, next_probe
from carobmoor.routing._record import (
    BackendStatistics,
    outcome_age_ms,
    record_served_request,
    service_time_us,
    success_permille,
)
from carobmoor.routing._state import (
    OTHER_REGION,
    SAME_REGION,
    SAME_ZONE,
    CandidateState,
    RoutingState,
    ServiceState,
    replace_candidates,
)
from carobmoor.routing._success_rate import SuccessRate

__all__ = [
    'DEFAULT_ROUTING_POLICY',
    'OTHER_REGION',
    'REPORT_HEADER',
    'SAME_REGION',
    'SAME_ZONE',
    'BackendStatistics',
    'CallOutcome',
    'CallResult',
    'Candidate',
    'CandidateState',
    'ChoiceQuery',
    'LoadReport',
    'ProbeBudget',
    'RoutingPolicy',
    'RoutingState',
    'ServiceState',
    'SuccessRate',
    'charge_paid_response',
    'charge_probe',
    'choose',
    'decode_report',
    'encode_report',
    'max_ejected',
    'next_probe',
    'outcome_age_ms',
    'record_call_end',
    'record_call_start',
    'record_report',
    'record_served_request',
    'replace_candidates',
    'service_time_us',
    'success_permille',
]
