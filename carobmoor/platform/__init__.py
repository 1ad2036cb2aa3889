"""Clients of the platform's table service and object store."""

from carobmoor.platform._client import Platform
from carobmoor.platform._jitter import jitter
from carobmoor.platform._messages import Row, StoreFailure, StoreFault

__all__ = ['Platform', 'Row', 'StoreFailure', 'StoreFault', 'jitter']
