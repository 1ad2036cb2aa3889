"""Routes, the services they lead to, and the limits of callers."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Kind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = 'idempotent'
    # Runs at most once.
    NON_IDEMPOTENT = 'non_idempotent'
    # As above, with a body that may be large.
    UPLOAD = 'upload'


class Part(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests under one host and path prefix go."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: Kind
    # One part, or several that share the requests by weight.
    parts: Sequence[Part]
    # How long a request may be kept waiting.
    timeout_ms: float
    # The latency within which an answer counts as good.
    target_latency_ms: float
    # To how many backend servers one request may be sent.
    most_attempts: int
    # Zero is the most urgent.
    priority: int


class RoutedService(NamedTuple):
    """A service as the routes know it."""

    name: str
    health_path: str
    # From all callers of one backend server together.
    most_connections: int


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    most_header_bytes: int
    most_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class RouteTable(NamedTuple):
    """One version of all routes; it is never changed."""

    version: int
    # By host in lower case, then by prefix.
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
