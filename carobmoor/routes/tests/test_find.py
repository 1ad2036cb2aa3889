"""Tests of finding a route and of splitting its requests by weight."""

import random
from collections import Counter

from nose2.tools import params

from carobmoor.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    SplitState,
    WeightedService,
    find_route,
)

LIMITS = CallerLimits(1, 1, 1, 1)


def route_of(prefix: str, *services: WeightedService) -> Route:
    """Return a route with the given prefix and services."""
    services_or_default = services or (WeightedService('one', 1),)
    return Route(
        prefix, 'h', prefix, RouteKind.UPLOAD, services_or_default, 1, 1, 1, 1
    )


ROUTES = {prefix: route_of(prefix) for prefix in ('/a/', '/a/b/', '/c/')}
TABLE = RouteTable(1, {'h.example': ROUTES}, {}, LIMITS)


@params(
    ('h.example', '/a/1', '/a/'),
    ('H.Example:80', '/a/b', '/a/'),
    ('h.example', '/a/b/', '/a/b/'),
    ('h.example', '/a/b/c/d', '/a/b/'),
    ('h.example', '/a', None),
    ('h.example', '/ab/c', None),
    ('h.example', '/', None),
    ('h.example', '', None),
    ('other', '/a/1', None),
)
def test_longest_matching_prefix_wins(host, path, prefix):
    """The longest matching prefix of the host's routes is found."""
    found = find_route(TABLE, host, path)
    assert (found and found.prefix) == prefix


@params(1, 7, 24)
def test_split_follows_weights(processes):
    """Many processes with few requests each keep the weights together."""
    route = route_of(
        '/a/', WeightedService('one', 90), WeightedService('two', 10)
    )
    counted: Counter[str] = Counter()
    for seed in range(processes):
        split = SplitState(random.Random(seed))
        counted.update(
            split.next_service(route) for _ in range(480 // processes)
        )
    expected = counted.total() // 10
    assert abs(counted['two'] - expected) < expected / 2, counted
