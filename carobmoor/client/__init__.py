"""The client library: sends calls directly to the owner nodes of a service.

Example: call a service and read its whole answer.

    async with Client(('127.0.0.1:7101',), caller='depot-app') as client:
        called = await client.call(Call('bookings', 'GET', '/today'))
"""

from carobmoor.client._client import Client, learn_service
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
from carobmoor.client._policies import policy_of
from carobmoor.client._prober import keep_probing
from carobmoor.client._record import record_outcome, record_sent
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
    'keep_probing',
    'learn_service',
    'policy_of',
    'read_call_context',
    'record_outcome',
    'record_sent',
]
