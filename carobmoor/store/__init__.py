"""The interface to the platform's store, and what its clients share.

`Store` is the protocol; the adapter to a platform implements it.
"""

from carobmoor.store._breaker import Breaker
from carobmoor.store._jitter import jitter_factor
from carobmoor.store._messages import (
    Row,
    RowChanges,
    StoreFailure,
    StoreFault,
)
from carobmoor.store._protocol import Store

__all__ = [
    'Breaker',
    'Row',
    'RowChanges',
    'Store',
    'StoreFailure',
    'StoreFault',
    'jitter_factor',
]
