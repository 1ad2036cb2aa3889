"""Routes by host and path prefix, shared between services by weight.

A `RouteTable` is one version of the operator's routes. `find_route` gives the
route of a request, `SplitState` the service whose turn it is.
"""

from carobmoor.routes._find import SplitState, find_route
from carobmoor.routes._messages import (
    CallerLimits,
    Kind,
    Part,
    Route,
    RoutedService,
    RouteTable,
)

__all__ = [
    'CallerLimits',
    'Kind',
    'Part',
    'Route',
    'RouteTable',
    'RoutedService',
    'SplitState',
    'find_route',
]
