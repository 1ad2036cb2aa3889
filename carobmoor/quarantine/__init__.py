"""Containment of requests that crash the backend servers that run them.

When a backend server crashes, each request in flight on it is marked, except
for those known to be harmless. A marked request runs on one fixed owner only,
with no other marked request beside it. After a second crash it is quarantined,
that is refused by every node, for a bounded time. One success clears its mark.

The decisions are plain functions over `QuarantineState` and a passed-in
time; `Quarantine` watches one backend server and notifies the other nodes.
"""

from carobmoor.quarantine._decide import (
    choose_owner,
    clear_mark,
    decide_restriction,
    drop_expired,
    list_marks,
    record_crash,
)
from carobmoor.quarantine._fingerprint import (
    IDENTIFIED_BODY_BYTES,
    BodyDigest,
    RequestIdentity,
    digest_of_body,
    fingerprint_of,
)
from carobmoor.quarantine._mark_exchange import (
    MARKS_TARGET,
    MarkExchange,
    ServiceNodes,
)
from carobmoor.quarantine._messages import (
    Mark,
    Permit,
    QuarantinePolicy,
    Restriction,
    RestrictionDecision,
    decode_marks,
    encode_marks,
)
from carobmoor.quarantine._quarantine import Quarantine
from carobmoor.quarantine._state import (
    QuarantineState,
    export_marks,
    merge_marks,
)

__all__ = [
    'IDENTIFIED_BODY_BYTES',
    'MARKS_TARGET',
    'BodyDigest',
    'Mark',
    'MarkExchange',
    'Permit',
    'Quarantine',
    'QuarantinePolicy',
    'QuarantineState',
    'RequestIdentity',
    'Restriction',
    'RestrictionDecision',
    'ServiceNodes',
    'choose_owner',
    'clear_mark',
    'decide_restriction',
    'decode_marks',
    'digest_of_body',
    'drop_expired',
    'encode_marks',
    'export_marks',
    'fingerprint_of',
    'list_marks',
    'merge_marks',
    'record_crash',
]
