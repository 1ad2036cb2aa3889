"""A load balancer for backend servers whose load shifts within milliseconds.

Callers use `Client`. Operators start one node beside each backend server with
`carobmoor node --settings FILE`.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
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

_OUTCOME_NAMES: Final = frozenset(('Code', 'Failure', 'NotRun', 'Unknown'))


def __getattr__(name: str) -> Any:
    """Import a public name on first use.

    A mesh node doesn't use the client library; not importing it saves memory.
    """
    if name not in __all__:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    package_name = 'outcomes' if name in _OUTCOME_NAMES else 'client'
    return getattr(import_module(f'carobmoor.{package_name}'), name)
