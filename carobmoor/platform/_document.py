"""Decoding of the operator's configuration document into a route table."""

import math
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobmoor.decoding import Count, NonNegative, decoder_of
from carobmoor.platform._units import parse_duration_ms, parse_version
from carobmoor.routes import (
    CallerLimits,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
)
from carobmoor.teams import Team, TeamDirectory, TeamKeys

_KIND_BY_ROUTE_TYPE: Final = MappingProxyType(
    {
        'idempotent': RouteKind.IDEMPOTENT,
        'non_idempotent': RouteKind.NON_IDEMPOTENT,
        'upload': RouteKind.UPLOAD,
        'download': RouteKind.DOWNLOAD,
    },
)
_DEFAULT_PRIORITY: Final = 1


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout: str
    idle_timeout: str


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Match(msgspec.Struct):
    prefix: str


class _Action(msgspec.Struct, rename='camel'):
    timeout: str
    attempts: Count
    service: str = ''
    traffic_split: Sequence[_WeightedService] = ()
    allowed_regions: Sequence[str] = ()


class _Rule(msgspec.Struct, rename='camel'):
    match: _Match
    action: _Action
    route_type: str
    name: str = ''
    target_latency: str = '1s'
    priority: Count = _DEFAULT_PRIORITY
    allow_anonymous: bool = False


class _Listener(msgspec.Struct, rename='camel'):
    host: str
    route_rules: Sequence[_Rule]


class _Cluster(msgspec.Struct, rename='camel'):
    name: str
    health_check_path: str = '/health'
    max_connections: Count = 1
    cold_start: str = '0s'
    cold_per_s: NonNegative = 0


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: Sequence[str] = ()
    priority: Count | None = None
    rate_per_s: NonNegative = 0
    burst: NonNegative = 0
    allowed_regions: Sequence[str] = ()


class _Document(msgspec.Struct):
    version: str
    limits: _Limits
    listeners: Sequence[_Listener]
    # One cluster for each service.
    clusters: Sequence[_Cluster]
    tenants: Sequence[_Tenant] = ()


_decode: Final = decoder_of(_Document, strict=False)


def decode_document(content: bytes) -> Result[RouteTable, str]:
    """Decode a document and check its rules.

    `Err` holds a message that says what is wrong.
    """
    try:
        return Ok(_build_table(_decode(content)))
    except (msgspec.DecodeError, ValueError) as error:
        return Err(str(error))


def _build_table(document: _Document) -> RouteTable:
    services = {
        cluster.name: RoutedService(
            cluster.name,
            cluster.health_check_path,
            cluster.max_connections,
            parse_duration_ms(cluster.cold_start),
            cluster.cold_per_s,
        )
        for cluster in document.clusters
    }
    routes: dict[str, dict[str, Route]] = {}
    for listener in document.listeners:
        routes_by_prefix = routes.setdefault(listener.host.lower(), {})
        for rule in listener.route_rules:
            route = _build_route(listener.host, rule, services)
            routes_by_prefix[route.prefix] = route
    limits = document.limits
    return RouteTable(
        parse_version(document.version),
        routes,
        services,
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            parse_duration_ms(limits.header_timeout),
            parse_duration_ms(limits.idle_timeout),
        ),
        TeamDirectory(_build_team(tenant) for tenant in document.tenants),
    )


def _build_team(tenant: _Tenant) -> TeamKeys:
    team = Team(
        tenant.name,
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
        frozenset(tenant.allowed_regions),
    )
    return TeamKeys(team, tenant.api_keys)


def _build_route(
    host: str, rule: _Rule, services: Mapping[str, RoutedService]
) -> Route:
    action = rule.action
    prefix = rule.match.prefix
    weighted_services = _build_weighted_services(action)
    fault = _find_rule_fault(rule, weighted_services, services)
    if fault:
        raise ValueError(f'{rule.name}: {fault}')
    return Route(
        rule.name,
        host,
        prefix,
        _KIND_BY_ROUTE_TYPE[rule.route_type],
        weighted_services,
        parse_duration_ms(action.timeout),
        parse_duration_ms(rule.target_latency),
        action.attempts,
        rule.priority,
        frozenset(action.allowed_regions),
        rule.allow_anonymous,
    )


def _find_rule_fault(
    rule: _Rule,
    weighted_services: Sequence[WeightedService],
    services: Mapping[str, RoutedService],
) -> str:
    """Return what is wrong with a rule, or an empty string."""
    prefix = rule.match.prefix
    if not prefix.startswith('/') or not prefix.endswith('/'):
        return f'prefix {prefix!r} does not start and end with a slash'
    for weighted in weighted_services:
        if weighted.service not in services:
            return f'unknown service {weighted.service!r}'
    if rule.route_type not in _KIND_BY_ROUTE_TYPE:
        return f'unknown routeType {rule.route_type!r}'
    attempts = rule.action.attempts
    return f'attempts {attempts}, expected at least 1' if attempts < 1 else ''


def _build_weighted_services(action: _Action) -> Sequence[WeightedService]:
    if not action.traffic_split:
        return (WeightedService(action.service, 1),)
    weighted_services = tuple(
        WeightedService(weighted.service, weighted.weight)
        for weighted in action.traffic_split
        if weighted.weight > 0
    )
    if not weighted_services or not math.isfinite(
        sum(weighted.weight for weighted in weighted_services)
    ):
        raise ValueError('trafficSplit has no positive, finite total weight')
    return weighted_services
