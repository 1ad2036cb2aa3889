"""What the platform writes is decoded whole, or refused with its reason."""

from nose2.tools import params

from carobmoor.mesh import ServerStatus
from carobmoor.platform import (
    decode_document,
    read_announcement,
    read_settings,
)
from carobmoor.platform._units import read_duration_ms, read_version
from carobmoor.platform.tests.fixtures import SETTINGS, document, heartbeat
from carobmoor.routes import Kind, Part
from carobmoor.transport import Address

BEAT = '/v1/instances/i-1/heartbeat'
LEAVE = '/v1/instances/i-1/deregister'


def test_settings_are_read():
    """Unknown fields are left alone, lists and bounds are taken apart."""
    settings = read_settings(SETTINGS).unwrap()
    assert settings.backend_server == Address('10.1.0.8', 8301)
    assert settings.caller_address == Address('10.1.0.8', 8304)
    assert settings.news_port == 7620
    assert settings.regions['abuja-wuse'] == 'abuja'
    assert settings.bounds.stop_ms == 6000
    assert settings.bounds.retry_window_ms == 10_000


@params(
    ('service=huvo11a\n', '', 'service: missing'),
    ('app=10.1.0.8:8301', 'app=here', 'app: '),
    ('internalPorts=7620', 'internalPorts=x', 'internalPorts: '),
    ('grace=6s', 'grace=6', 'bounds.grace: '),
    ('retryBudgetRatio=0.2', 'retryBudgetRatio=a', 'bounds.retryBudgetRatio: '),
    ('heartbeat=1500ms', 'heartbeat=soon', 'heartbeat: '),
)
def test_settings_fault_names_its_field(found, put, told):
    """A missing or odd field is told with its name."""
    fault = read_settings(SETTINGS.replace(found, put)).unwrap_err()
    assert fault.startswith(told), fault


def test_document_is_decoded():
    """Routes, services and limits arrive in the product's own types."""
    table = decode_document(document()).unwrap()
    route = table.routes['shop.example']['/a/']
    assert table.version == 7
    assert route.kind is Kind.IDEMPOTENT
    assert route.parts == (Part('one', 1),)
    assert (route.timeout_ms, route.most_attempts) == (1000, 2)
    assert table.services['two'].health_path == '/health'
    assert table.limits.idle_timeout_ms == 15_000


def test_split_is_decoded():
    """Parts without a weight get nothing."""
    split = [
        {'service': 'one', 'weight': 90},
        {'service': 'two', 'weight': 10},
        {'service': 'one', 'weight': 0},
    ]
    action = {'trafficSplit': split, 'timeout': '1s', 'attempts': 1}
    table = decode_document(document(action=action)).unwrap()
    parts = table.routes['shop.example']['/a/'].parts
    assert parts == (Part('one', 90), Part('two', 10))


@params(
    ({'match': {'prefix': '/a'}}, 'prefix'),
    ({'routeType': 'sometimes'}, 'unknown kind'),
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
def test_odd_document_is_refused(changed, told):
    """A document that can't be followed whole is not followed at all."""
    assert told in decode_document(document(**changed)).unwrap_err()


@params(b'', b'{', b'{}', b'\xff\xfe', document()[:-9])
def test_unreadable_document_is_refused(content):
    """Bytes of another writer raise nothing."""
    assert decode_document(content).unwrap_err()


def test_heartbeat_is_decoded():
    """A heartbeat says who, in which start, and how loaded."""
    heard = read_announcement(BEAT, heartbeat()).unwrap()
    assert heard.status is ServerStatus.READY
    assert (heard.instance_id, heard.born_ms, heard.sequence) == (
        'i-1',
        1700,
        4,
    )
    assert (heard.slots, heard.warm_up_ms) == (9, 1500)


@params(b'', b'{}', b'{"born": 1700}')
def test_deregistration_is_decoded(body):
    """The last word needs no body."""
    assert read_announcement(LEAVE, body).unwrap().status is ServerStatus.GONE


@params(
    (BEAT, heartbeat(status={'state': 'odd', 'sequence': 1})),
    (BEAT, heartbeat(status={'state': 'ready', 'sequence': 'x'})),
    (BEAT, heartbeat(born=1.5)),
    (BEAT, heartbeat(info={'service': 'one', 'slots': 0})),
    (BEAT, heartbeat(info={'slots': 4})),
    (BEAT, heartbeat(address='here')),
    (BEAT, b'\xff'),
    ('/v1/instances/i-1/other', heartbeat()),
    ('/other', b''),
)
def test_odd_announcement_is_refused(target, body):
    """What another writer sends names no backend server."""
    assert read_announcement(target, body).unwrap_err()


@params(('1500ms', 1500), ('2.5s', 2500), ('0ms', 0))
def test_duration(text, duration_ms):
    """Times are a number and its unit."""
    assert read_duration_ms(text) == duration_ms


@params('1500', '1 s', 's', None, 5, '-1s')
def test_odd_duration(text):
    """Anything else is refused."""
    assert _raises(lambda: read_duration_ms(text))


@params('12', 'r', 'rx', None, 12)
def test_odd_version(text):
    """Versions are a letter and a number."""
    assert _raises(lambda: read_version(text))


def _raises(call):
    try:
        call()
    except ValueError:
        return True
    return False
