"""Routes, the services behind them, and the limits on callers."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple


class RouteKind(enum.Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    # Runs at most once.
    NON_IDEMPOTENT = 'non_idempotent'
    # Runs at most once, and its body may be large.
    UPLOAD = 'upload'


class WeightedService(NamedTuple):
    """A service and its weight in the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests under one host and path prefix go, and their limits."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    # One service, or several that share the requests by weight.
    services: Sequence[WeightedService]
    # Time within which a request must be answered.
    timeout_ms: float
    # Latency within which a response meets the target.
    target_latency_ms: float
    # Maximum number of backend servers that one request is sent to.
    max_attempts: int
    # 0 is the most urgent.
    priority: int


class RoutedService(NamedTuple):
    """A service that routes refer to."""

    name: str
    health_path: str
    # To one backend server, from all callers together.
    max_connections: int


class CallerLimits(NamedTuple):
    """Limits on what a caller sends and how long it takes or stays idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class RouteTable(NamedTuple):
    """One immutable version of all routes."""

    version: int
    # By host in lower case, then by path prefix.
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
