"""HTTP/1.1 client and server connections between nodes and backend servers.

A failed call reports the step at which it failed: without a statement from
the peer, only "no byte of the request was written" proves that the request
did not run.
"""

from carobmoor.transport._connection import Connection
from carobmoor.transport._end_to_end import end_to_end_headers
from carobmoor.transport._exchange import Answer, AnswerIncomplete, send
from carobmoor.transport._framing import SLICE_BYTES, FramingMeter, slices
from carobmoor.transport._guard import (
    ACCEPTED_AT_ONCE,
    BACKLOG,
    ConnectionGuard,
    bind_socket,
)
from carobmoor.transport._incoming import (
    CallerLost,
    IncomingRequest,
    ServingLimits,
)
from carobmoor.transport._json import JsonAnswer, read_whole, request_json
from carobmoor.transport._linger import close_after_sending
from carobmoor.transport._memory_account import (
    FIELD_OVERHEAD_BYTES,
    AccountShare,
    MemoryAccount,
    ProcessLimits,
    process_limits,
)
from carobmoor.transport._messages import (
    Address,
    AnswerHead,
    HeaderList,
    OutgoingRequest,
    ProgressFloor,
    get_header,
    parse_address,
)
from carobmoor.transport._pauses import PauseMonitor, monitor_pauses
from carobmoor.transport._pool import ConnectionPool
from carobmoor.transport._progress import ProgressMeter
from carobmoor.transport._read_buffer import read_buffer
from carobmoor.transport._serving import Listener
from carobmoor.transport._shedding import ConnectionLoad, Phase
from carobmoor.transport._steps import CallFailure, Step, proves_not_run
from carobmoor.transport._usage import ConnectionUsage

__all__ = [
    'ACCEPTED_AT_ONCE',
    'BACKLOG',
    'ConnectionGuard',
    'ConnectionLoad',
    'ConnectionUsage',
    'Phase',
    'bind_socket',
    'close_after_sending',
    'read_buffer',
    'FIELD_OVERHEAD_BYTES',
    'SLICE_BYTES',
    'FramingMeter',
    'slices',
    'Address',
    'Answer',
    'AnswerHead',
    'AnswerIncomplete',
    'AccountShare',
    'CallFailure',
    'CallerLost',
    'Connection',
    'ConnectionPool',
    'HeaderList',
    'IncomingRequest',
    'JsonAnswer',
    'Listener',
    'MemoryAccount',
    'OutgoingRequest',
    'PauseMonitor',
    'ProcessLimits',
    'ProgressFloor',
    'ProgressMeter',
    'ServingLimits',
    'Step',
    'end_to_end_headers',
    'get_header',
    'monitor_pauses',
    'parse_address',
    'process_limits',
    'proves_not_run',
    'read_whole',
    'request_json',
    'send',
]
