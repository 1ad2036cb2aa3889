"""The platform's store as the product sees it.

`Store` is the port; the adapter to a platform gives a client of it.
"""

from carobmoor.store._breaker import Breaker
from carobmoor.store._jitter import jitter
from carobmoor.store._messages import (
    Row,
    RowChanges,
    StoreFailure,
    StoreFault,
)
from carobmoor.store._port import Store

__all__ = [
    'Breaker',
    'Row',
    'RowChanges',
    'Store',
    'StoreFailure',
    'StoreFault',
    'jitter',
]
