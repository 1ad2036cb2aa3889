"""Tokens identify operators, and scopes limit what they change."""

import hashlib

from nose2.tools import params

from carobmoor.operators import Operator, authenticate, changes_out_of_scope

NO_NAMES = frozenset[str]()
DIGEST = hashlib.sha256(b'secret').hexdigest()
LIMITED = Operator('night', DIGEST, frozenset({'desks'}), frozenset({'gate'}))
UNLIMITED = Operator('chief', DIGEST, frozenset({'*'}), NO_NAMES)
UNSCOPED = Operator('reader', DIGEST, NO_NAMES, NO_NAMES)
RANKS = [{'name': 'desk'}]
BEFORE = {
    'ranks': RANKS,
    'services': {
        'directory': {'team': 'desks', 'slots': 12},
        'archives': {'team': 'syndics', 'slots': 12},
        'gate': {'team': 'gates', 'slots': 12},
    },
}


def with_service(name, **change):
    """Return the document with one service changed or added."""
    services = dict(BEFORE['services'])
    services[name] = {**services.get(name, {}), **change}
    return {'ranks': RANKS, 'services': services}


def without_service(name):
    """Return the document without one service."""
    services = dict(BEFORE['services'])
    services.pop(name)
    return {'ranks': RANKS, 'services': services}


@params(
    (LIMITED, BEFORE, ()),
    (LIMITED, with_service('directory', slots=9), ()),
    (LIMITED, with_service('gate', slots=9), ()),
    (LIMITED, with_service('archives', slots=9), ('services.archives',)),
    (LIMITED, with_service('archives', team='desks'), ('services.archives',)),
    (LIMITED, with_service('directory', team='gates'), ('services.directory',)),
    (LIMITED, with_service('parcels', team='desks', slots=1), ()),
    (
        LIMITED,
        with_service('parcels', team='x', slots=1),
        ('services.parcels',),
    ),
    (LIMITED, without_service('archives'), ('services.archives',)),
    (LIMITED, {**BEFORE, 'ranks': []}, ('ranks',)),
    (UNLIMITED, {**BEFORE, 'ranks': []}, ()),
    (UNLIMITED, without_service('archives'), ()),
    (UNSCOPED, with_service('gate', slots=9), ('services.gate',)),
)
def test_changes_outside_scope_are_returned(operator, after, expected):
    """Only changes outside the operator's scope are returned."""
    assert tuple(changes_out_of_scope(operator, BEFORE, after)) == expected


@params(
    ('Bearer secret', 'night'),
    ('Bearer wrong', None),
    ('Bearer ', None),
    ('secret', None),
    ('', None),
    (f'Bearer {DIGEST}', None),
)
def test_only_valid_token_identifies_operator(authorization, name):
    """Only a bearer token identifies its operator; its digest does not."""
    found = authenticate((LIMITED,), authorization)
    assert (found.name if found else None) == name
