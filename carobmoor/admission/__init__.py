"""Admission control: which request gets a slot of the backend server.

The node beside the backend server decides. The decisions are plain functions
of `AdmissionState` and a time that is passed in, so they can be tested
without sockets. `Gate` lets asyncio tasks wait for them.
"""

from carobmoor.admission._cold_starts import ColdLimit, ColdStarts
from carobmoor.admission._decide import (
    expire,
    finish,
    offer,
    release,
    release_unused,
    start_next,
    withdraw,
)
from carobmoor.admission._gate import Gate
from carobmoor.admission._lease import SlotLease
from carobmoor.admission._messages import (
    AdmissionPolicy,
    AdmissionTuning,
    Arrival,
    Drop,
    Placement,
    RankPolicy,
    SlotGrant,
    Verdict,
)
from carobmoor.admission._rate_limit import RateLimit, read_rate_limit
from carobmoor.admission._state import AdmissionState
from carobmoor.admission._stop_times import StopTimes, stop_times

__all__ = [
    'AdmissionPolicy',
    'AdmissionState',
    'AdmissionTuning',
    'Arrival',
    'ColdLimit',
    'ColdStarts',
    'Drop',
    'Gate',
    'Placement',
    'RankPolicy',
    'RateLimit',
    'SlotGrant',
    'SlotLease',
    'StopTimes',
    'Verdict',
    'expire',
    'finish',
    'offer',
    'read_rate_limit',
    'release',
    'release_unused',
    'start_next',
    'stop_times',
    'withdraw',
]
