"""Clients of the platform's table service and object store."""

from carobmoor.store._breaker import Breaker
from carobmoor.store._client import Platform
from carobmoor.store._jitter import jitter
from carobmoor.store._messages import (
    Row,
    RowChanges,
    StoreFailure,
    StoreFault,
)

__all__ = [
    'Breaker',
    'Platform',
    'Row',
    'RowChanges',
    'StoreFailure',
    'StoreFault',
    'jitter',
]
