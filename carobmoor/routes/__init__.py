"""Routes by host and path prefix, split between services by weight.

A `RouteTable` is one version of the operator's routes. `find_route` returns
the route of a request, `SplitState` the service for its next request.
"""

from carobmoor.routes._find import SplitState, find_route
from carobmoor.routes._messages import (
    CallerLimits,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
)
from carobmoor.routes._regions import bind_regions

__all__ = [
    'CallerLimits',
    'Route',
    'RouteKind',
    'RouteTable',
    'RoutedService',
    'SplitState',
    'WeightedService',
    'bind_regions',
    'find_route',
]
