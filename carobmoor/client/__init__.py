"""The client library: sends calls directly to the owner nodes of a service.

Example: call a service and read its whole answer.

    async with Client(('127.0.0.1:7101',), caller='depot-app') as client:
        called = await client.call(Call('bookings', 'GET', '/today'))
"""

from carobmoor.client._client import Client, set_service_members
from carobmoor.client._context import CallContext, read_call_context
from carobmoor.client._dispatch import Dispatcher
from carobmoor.client._headers import (
    ATTEMPT_HEADER,
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_LEFT_HEADER,
    SERVICE_HEADER,
)
from carobmoor.client._messages import Call, CallAnswer
from carobmoor.client._metrics import DispatchCollector
from carobmoor.client._policies import policies_of
from carobmoor.client._prober import probe_candidates_periodically
from carobmoor.client._record import record_call_sent, record_outcome
from carobmoor.client._request import failure_of

__all__ = [
    'ATTEMPT_HEADER',
    'CALLER_HEADER',
    'DEADLINE_HEADER',
    'DEPTH_HEADER',
    'OWNER_HEADER',
    'RANK_HEADER',
    'REQUEST_ID_HEADER',
    'RETRIES_LEFT_HEADER',
    'SERVICE_HEADER',
    'Call',
    'CallAnswer',
    'CallContext',
    'Client',
    'DispatchCollector',
    'Dispatcher',
    'failure_of',
    'policies_of',
    'probe_candidates_periodically',
    'read_call_context',
    'record_call_sent',
    'record_outcome',
    'set_service_members',
]
