"""Containment of requests that crash the backend servers that run them.

When a backend server crashes, each request in flight on it is marked, except
for those known to be harmless. A marked request runs on one fixed owner only,
with no other marked request beside it. After a second crash it is quarantined,
that is refused by every node, for a bounded time. One success clears its mark.

The decisions are plain functions over `QuarantineState` and a passed-in
time; `Quarantine` watches one backend server and notifies the other nodes.
"""

from carobmoor.quarantine._decide import (
    absolve,
    blame,
    expire,
    judge,
    list_marks,
    owner_of,
)
from carobmoor.quarantine._fingerprint import Suspect, fingerprint_of
from carobmoor.quarantine._messages import (
    Mark,
    Permit,
    Position,
    QuarantinePolicy,
    Ruling,
    decode_marks,
    encode_marks,
)
from carobmoor.quarantine._spread import MARKS_TARGET, Neighbours, Spread
from carobmoor.quarantine._state import QuarantineState, export, merge
from carobmoor.quarantine._watch import Quarantine

__all__ = [
    'MARKS_TARGET',
    'Mark',
    'Neighbours',
    'Permit',
    'Position',
    'Quarantine',
    'QuarantinePolicy',
    'QuarantineState',
    'Ruling',
    'Spread',
    'Suspect',
    'absolve',
    'blame',
    'decode_marks',
    'encode_marks',
    'expire',
    'export',
    'fingerprint_of',
    'judge',
    'list_marks',
    'merge',
    'owner_of',
]
