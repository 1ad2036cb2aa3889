"""Who may use a slot of the backend server, decided by the node beside it.

The decisions are plain functions over `AdmissionState` and a passed-in time,
so that they can be driven without sockets. `Gate` lets tasks wait for them.
"""

from carobmoor.admission._decide import (
    expire,
    finish,
    offer,
    release,
    start_next,
    withdraw,
)
from carobmoor.admission._gate import Gate
from carobmoor.admission._messages import (
    AdmissionPolicy,
    AdmissionTuning,
    Arrival,
    Drop,
    Grant,
    Placement,
    RankPolicy,
    Verdict,
)
from carobmoor.admission._state import AdmissionState

__all__ = [
    'AdmissionPolicy',
    'AdmissionState',
    'AdmissionTuning',
    'Arrival',
    'Drop',
    'Gate',
    'Grant',
    'Placement',
    'RankPolicy',
    'Verdict',
    'expire',
    'finish',
    'offer',
    'release',
    'start_next',
    'withdraw',
]
