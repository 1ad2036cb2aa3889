"""carobmoor: a load balancer for servers whose load shifts in milliseconds.

Callers use `Client`; operators start a node beside each backend server with
`carobmoor node --settings FILE`.
"""

from carobmoor.client import (
    Call,
    CallAnswer,
    CallContext,
    Client,
    read_call_context,
)
from carobmoor.outcomes import Code, Failure, NotRun, Unknown

__all__ = [
    'Call',
    'CallAnswer',
    'CallContext',
    'Client',
    'Code',
    'Failure',
    'NotRun',
    'Unknown',
    'read_call_context',
]
