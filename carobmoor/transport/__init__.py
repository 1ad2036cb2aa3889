"""HTTP/1.1 client and server connections between nodes and backend servers.

A failed call reports the step at which it failed: without a statement from
the peer, only "no byte of the request was written" proves that the request
did not run.
"""

from carobmoor.transport._connection import Connection
from carobmoor.transport._end_to_end import end_to_end
from carobmoor.transport._exchange import Answer, AnswerBroken, send
from carobmoor.transport._incoming import (
    CallerLost,
    IncomingRequest,
    ServingLimits,
)
from carobmoor.transport._json import JsonAnswer, read_whole, request_json
from carobmoor.transport._messages import (
    Address,
    AnswerHead,
    HeaderList,
    OutgoingRequest,
    ProgressFloor,
    header_of,
    parse_address,
)
from carobmoor.transport._pauses import StallWatch, watch_stalls
from carobmoor.transport._pool import ConnectionPool
from carobmoor.transport._progress import ProgressMeter
from carobmoor.transport._serving import Listener
from carobmoor.transport._steps import CallFailure, Step, proves_not_run

__all__ = [
    'Address',
    'Answer',
    'AnswerBroken',
    'AnswerHead',
    'CallFailure',
    'CallerLost',
    'Connection',
    'ConnectionPool',
    'HeaderList',
    'IncomingRequest',
    'JsonAnswer',
    'Listener',
    'OutgoingRequest',
    'ProgressFloor',
    'ProgressMeter',
    'ServingLimits',
    'StallWatch',
    'Step',
    'end_to_end',
    'header_of',
    'parse_address',
    'proves_not_run',
    'read_whole',
    'request_json',
    'send',
    'watch_stalls',
]
