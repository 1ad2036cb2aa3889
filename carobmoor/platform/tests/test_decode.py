"""The platform's formats are decoded completely, or rejected with a reason.

A value that is decoded only in part or wrongly would send requests to the
wrong place without an error.
"""

from nose2.tools import params

from carobmoor.mesh import ServerStatus
from carobmoor.platform import (
    decode_announcement,
    decode_document,
    parse_settings,
)
from carobmoor.platform._units import parse_duration_ms, parse_version
from carobmoor.platform.tests.fixtures import (
    SETTINGS,
    make_document,
    make_heartbeat,
)
from carobmoor.routes import RouteKind, WeightedService
from carobmoor.transport import Address

HEARTBEAT_TARGET = '/v1/instances/i-1/heartbeat'
DEREGISTER_TARGET = '/v1/instances/i-1/deregister'


def test_settings_are_parsed():
    """Unknown fields are ignored; lists and bounds are split into parts."""
    settings = parse_settings(SETTINGS).unwrap()
    assert settings.backend_server == Address('10.1.0.8', 8301)
    assert settings.caller_address == Address('10.1.0.8', 8304)
    assert settings.news_port == 7620
    assert settings.regions['abuja-wuse'] == 'abuja'
    assert settings.bounds.stop_ms == 6000
    assert settings.bounds.retry_window_ms == 10_000
    assert settings.max_pipelined == 16
    limited = parse_settings(f'{SETTINGS}\npipelining.maxInProgress=4\n')
    assert limited.unwrap().max_pipelined == 4


@params(
    ('service=huvo11a\n', '', 'service: missing'),
    ('app=10.1.0.8:8301', 'app=here', 'app: '),
    ('internalPorts=7620', 'internalPorts=x', 'internalPorts: '),
    ('grace=6s', 'grace=6', 'bounds.grace: '),
    ('retryBudgetRatio=0.2', 'retryBudgetRatio=a', 'bounds.retryBudgetRatio: '),
    ('heartbeat=1500ms', 'heartbeat=soon', 'heartbeat: '),
    (
        'role=',
        'pipelining.maxInProgress=0\nrole=',
        'pipelining.maxInProgress: ',
    ),
    (
        'role=',
        'pipelining.maxInProgress=x\nrole=',
        'pipelining.maxInProgress: ',
    ),
)
def test_invalid_settings_error_names_field(old, new, expected):
    """The error for a missing or malformed field names the field."""
    error = parse_settings(SETTINGS.replace(old, new)).unwrap_err()
    assert error.startswith(expected), error


def test_document_is_decoded_into_routes():
    """Routes, services and limits are decoded into the product's types."""
    table = decode_document(make_document()).unwrap()
    route = table.routes['shop.example']['/a/']
    assert table.version == 7
    assert route.kind is RouteKind.IDEMPOTENT
    assert route.services == (WeightedService('one', 1),)
    assert (route.timeout_ms, route.max_attempts) == (1000, 2)
    assert table.services['two'].health_path == '/health'
    assert table.limits.idle_timeout_ms == 15_000


def test_traffic_split_omits_zero_weights():
    """Services with a weight of 0 are left out of a traffic split."""
    split = [
        {'service': 'one', 'weight': 90},
        {'service': 'two', 'weight': 10},
        {'service': 'one', 'weight': 0},
    ]
    action = {'trafficSplit': split, 'timeout': '1s', 'attempts': 1}
    table = decode_document(make_document(action=action)).unwrap()
    services = table.routes['shop.example']['/a/'].services
    assert services == (WeightedService('one', 90), WeightedService('two', 10))


@params(
    ({'match': {'prefix': '/a'}}, 'prefix'),
    ({'routeType': 'sometimes'}, 'unknown routeType'),
    (
        {'action': {'service': 'three', 'timeout': '1s', 'attempts': 1}},
        'unknown service',
    ),
    (
        {'action': {'service': 'one', 'timeout': '1s', 'attempts': 0}},
        'attempts',
    ),
    (
        {'action': {'service': 'one', 'timeout': 1, 'attempts': 1}},
        'timeout',
    ),
)
def test_invalid_rule_rejects_make_document(changed, expected):
    """One invalid rule rejects the whole document."""
    assert expected in decode_document(make_document(**changed)).unwrap_err()


@params(b'', b'{', b'{}', b'\xff\xfe', make_document()[:-9])
def test_malformed_document_returns_error(content):
    """Truncated or foreign bytes return an error instead of raising one."""
    assert decode_document(content).unwrap_err()


def test_heartbeat_is_decoded_completely():
    """A heartbeat gives the instance, its start time, slots and status."""
    announcement = decode_announcement(
        HEARTBEAT_TARGET, make_heartbeat()
    ).unwrap()
    assert announcement.status is ServerStatus.READY
    assert (
        announcement.instance_id,
        announcement.born_ms,
        announcement.sequence,
    ) == (
        'i-1',
        1700,
        4,
    )
    assert (announcement.slots, announcement.warm_up_ms) == (9, 1500)


@params(b'', b'{}', b'{"born": 1700}')
def test_deregistration_needs_no_body(body):
    """A deregistration is valid with and without a body."""
    assert (
        decode_announcement(DEREGISTER_TARGET, body).unwrap().status
        is ServerStatus.GONE
    )


@params(
    (HEARTBEAT_TARGET, make_heartbeat(status={'state': 'odd', 'sequence': 1})),
    (
        HEARTBEAT_TARGET,
        make_heartbeat(status={'state': 'ready', 'sequence': 'x'}),
    ),
    (HEARTBEAT_TARGET, make_heartbeat(born=1.5)),
    (HEARTBEAT_TARGET, make_heartbeat(info={'service': 'one', 'slots': 0})),
    (HEARTBEAT_TARGET, make_heartbeat(info={'slots': 4})),
    (HEARTBEAT_TARGET, make_heartbeat(address='here')),
    (HEARTBEAT_TARGET, b'\xff'),
    ('/v1/instances/i-1/other', make_heartbeat()),
    ('/other', b''),
)
def test_malformed_announcement_is_rejected(target, body):
    """Malformed announcements and unknown calls are rejected."""
    assert decode_announcement(target, body).unwrap_err()


@params(('1500ms', 1500), ('2.5s', 2500), ('0ms', 0))
def test_duration_is_parsed_into_ms(text, duration_ms):
    """Durations in milliseconds and seconds are parsed."""
    assert parse_duration_ms(text) == duration_ms


@params('1500', '1 s', 's', None, 5, '-1s')
def test_invalid_duration_is_rejected(text):
    """A duration without a number, a unit or the right type is rejected."""
    assert _raises_value_error(lambda: parse_duration_ms(text))


@params('12', 'r', 'rx', None, 12)
def test_invalid_version_is_rejected(text):
    """A version that is not `r` and a number is rejected."""
    assert _raises_value_error(lambda: parse_version(text))


def _raises_value_error(call):
    try:
        call()
    except ValueError:
        return True
    return False
