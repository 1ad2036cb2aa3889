"""Routes, the services behind them, and the limits on callers."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from carobmoor.teams import TeamDirectory


class RouteKind(enum.Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    # Runs at most once.
    NON_IDEMPOTENT = 'non_idempotent'
    # Runs at most once, and its body may be large.
    UPLOAD = 'upload'
    # May run more than once, and its answer may be large.
    DOWNLOAD = 'download'

    @property
    def may_repeat(self) -> bool:
        """Whether its requests may run more than once."""
        return self in {RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD}


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
    # Regions whose backend servers may run its requests; empty for all.
    regions: frozenset[str] = frozenset()
    # Whether callers need no key where the configuration has teams.
    allows_anonymous: bool = False


class RoutedService(NamedTuple):
    """A service that routes refer to."""

    name: str
    health_path: str
    # To one backend server, from all callers together.
    max_connections: int
    # How long a backend server is cold after its start.
    warm_up_ms: float = 0
    # Requests per second that a cold one tolerates; 0 if not limited.
    cold_starts_per_s: float = 0


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
    teams: TeamDirectory = TeamDirectory(())
