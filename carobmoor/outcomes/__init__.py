"""The outcomes of a request, as reported to its caller.

Every request ends with a response, with `NotRun` (it did not run and may be
sent again) or with `Unknown` (it may have run). There is no other outcome.
"""

from carobmoor.outcomes._failures import (
    Code,
    Failure,
    NotRun,
    Unknown,
    http_status_of,
)
from carobmoor.outcomes._wire import (
    OUTCOME_HEADER,
    FailureDocument,
    decode_failure,
    encode_failure,
    outcome_name,
)

__all__ = [
    'OUTCOME_HEADER',
    'Code',
    'Failure',
    'FailureDocument',
    'NotRun',
    'Unknown',
    'decode_failure',
    'encode_failure',
    'http_status_of',
    'outcome_name',
]
