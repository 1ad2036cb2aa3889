"""Tokens identify operators, and scopes limit what they change."""

import hashlib

from nose2.tools import params

from carobmoor.operators import Operator, changes_out_of_scope, identify

NONE = frozenset[str]()
DIGEST = hashlib.sha256(b'secret').hexdigest()
NIGHT = Operator('night', DIGEST, frozenset({'desks'}), frozenset({'gate'}))
CHIEF = Operator('chief', DIGEST, frozenset({'*'}), NONE)
READER = Operator('reader', DIGEST, NONE, NONE)
RANKS = [{'name': 'desk'}]
BEFORE = {
    'ranks': RANKS,
    'services': {
        'directory': {'team': 'desks', 'slots': 12},
        'archives': {'team': 'syndics', 'slots': 12},
        'gate': {'team': 'gates', 'slots': 12},
    },
}


def changed(name, **change):
    """Return the document with one service changed or added."""
    services = dict(BEFORE['services'])
    services[name] = {**services.get(name, {}), **change}
    return {'ranks': RANKS, 'services': services}


def without(name):
    """Return the document without one service."""
    services = dict(BEFORE['services'])
    services.pop(name)
    return {'ranks': RANKS, 'services': services}


@params(
    (NIGHT, BEFORE, ()),
    (NIGHT, changed('directory', slots=9), ()),
    (NIGHT, changed('gate', slots=9), ()),
    (NIGHT, changed('archives', slots=9), ('services.archives',)),
    (NIGHT, changed('archives', team='desks'), ('services.archives',)),
    (NIGHT, changed('directory', team='gates'), ('services.directory',)),
    (NIGHT, changed('parcels', team='desks', slots=1), ()),
    (NIGHT, changed('parcels', team='x', slots=1), ('services.parcels',)),
    (NIGHT, without('archives'), ('services.archives',)),
    (NIGHT, {**BEFORE, 'ranks': []}, ('ranks',)),
    (CHIEF, {**BEFORE, 'ranks': []}, ()),
    (CHIEF, without('archives'), ()),
    (READER, changed('gate', slots=9), ('services.gate',)),
)
def test_changes_out_of_scope(operator, after, named):
    """Only changes outside the operator's scope are returned."""
    assert tuple(changes_out_of_scope(operator, BEFORE, after)) == named


@params(
    ('Bearer secret', 'night'),
    ('Bearer wrong', None),
    ('Bearer ', None),
    ('secret', None),
    ('', None),
    (f'Bearer {DIGEST}', None),
)
def test_identify(authorization, name):
    """Only a bearer token identifies its operator; its digest does not."""
    found = identify((NIGHT,), authorization)
    assert (found.name if found else None) == name
