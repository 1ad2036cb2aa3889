"""The library for callers: one hop to the owner node.

Example: call a service and read its whole answer.

    async with Client(('127.0.0.1:7101',), caller='depot-app') as client:
        called = await client.call(Call('bookings', 'GET', '/today'))
"""

from carobmoor.client._client import Client, learn_service
from carobmoor.client._dispatch import Dispatcher, failure_of
from carobmoor.client._headers import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
)
from carobmoor.client._messages import Call, CallAnswer

__all__ = [
    'CALLER_HEADER',
    'DEADLINE_HEADER',
    'DEPTH_HEADER',
    'OWNER_HEADER',
    'RANK_HEADER',
    'REQUEST_ID_HEADER',
    'SERVICE_HEADER',
    'Call',
    'CallAnswer',
    'Client',
    'Dispatcher',
    'failure_of',
    'learn_service',
]
