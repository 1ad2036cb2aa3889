"""carobmoor: a load balancer for servers whose load shifts in milliseconds.

Callers use `Client`; operators start a node beside each backend server with
`carobmoor node --settings FILE`.
"""

from carobmoor.client import Call, CallAnswer, Client
from carobmoor.outcomes import Code, Failure, NotRun, Unknown

__all__ = [
    'Call',
    'CallAnswer',
    'Client',
    'Code',
    'Failure',
    'NotRun',
    'Unknown',
]
