"""What can become of a request, as told to its caller.

Every request ends as an answer, as `NotRun` (it did not run and may be sent
again) or as `Unknown` (it may have run). Nothing else is ever reported.
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
]
