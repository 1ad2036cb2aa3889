"""The control paths of a node, under `/_carobmoor/`."""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from typing import Any, Final, TypedDict

import msgspec
from blacksheep import Application, Content, Request, Response
from result import Err

from carobmoor.burn import take_snapshots
from carobmoor.configuration import (
    Conflict,
    Fault,
    Submission,
    publish,
    read_history,
    validate_document,
)
from carobmoor.explain import find_record, recent_bad
from carobmoor.node._state import NodeState
from carobmoor.node._ticket_routes import route_tickets
from carobmoor.outcomes import Code, NotRun, encode_failure, http_status_of

_OK: Final = 200
_CONFLICT: Final = 409
_UNPROCESSABLE: Final = 422
_BEARER: Final = 'Bearer '
_PREFIX: Final = '/_carobmoor'
_MOST_LISTED: Final = 100


class StatusDocument(TypedDict):
    """The state of a node as operators read it."""

    address: str
    service: str
    is_ready: bool
    is_leaving: bool
    configuration_version: int
    slots: int
    in_flight: int
    queued: int
    members: int


class PutDocument(TypedDict):
    """A configuration that an operator submits."""

    base_version: int
    reason: str
    document: Any


def make_control_plane(
    node: NodeState,
    start_leaving: Callable[[], None],
) -> Application:
    """Make the application that serves the control paths."""
    app = Application(show_error_details=False)
    _route_reads(app, node)
    _route_configuration(app, node)
    route_tickets(app, node)

    async def drain(request: Request) -> Response:
        operator = _operator_of(node, request)
        if not operator:
            return _unauthorised(node)
        start_leaving()
        return _json(_OK, _status_of(node))

    app.router.add_post(f'{_PREFIX}/drain', drain)
    return app


def _route_reads(app: Application, node: NodeState) -> None:
    async def status() -> Response:
        return _json(_OK, _status_of(node))

    async def members() -> Response:
        return _json(_OK, node.gossip.known())

    async def gossip(request: Request) -> Response:
        node.gossip.hear(await request.read() or b'[]')
        return _json(_OK, node.gossip.known())

    async def metrics() -> Response:
        node.metrics.in_flight.set(node.gate.state.in_flight_total)
        node.metrics.queued.set(node.gate.state.queued_total)
        content = Content(b'text/plain; version=0.0.4', node.metrics.render())
        return Response(_OK, content=content)

    async def explain(request_id: str) -> Response:
        kept = find_record(node.records, request_id)
        if kept is None:
            return _refuse(node, Code.NOT_FOUND, 'no record of this request')
        return _json(_OK, kept)

    async def bad_requests() -> Response:
        return _json(_OK, recent_bad(node.records, _MOST_LISTED))

    app.router.add_get(f'{_PREFIX}/requests', bad_requests)
    app.router.add_get(f'{_PREFIX}/requests/{{request_id}}', explain)

    async def burn() -> Response:
        return _json(_OK, take_snapshots(node.burn, node.objectives))

    app.router.add_get(f'{_PREFIX}/burn', burn)
    app.router.add_get(f'{_PREFIX}/status', status)
    app.router.add_get(f'{_PREFIX}/members', members)
    app.router.add_post(f'{_PREFIX}/gossip', gossip)
    app.router.add_get(f'{_PREFIX}/metrics', metrics)


def _route_configuration(app: Application, node: NodeState) -> None:
    async def get_configuration() -> Response:
        accepted = node.configuration.accepted
        if accepted is None:
            return _refuse(node, Code.NOT_READY, 'no configuration yet')
        return _json(_OK, accepted._asdict())

    async def history() -> Response:
        read = await read_history(node.platform)
        if isinstance(read, Err):
            return _refuse(node, Code.STORE_UNAVAILABLE, str(read.err_value))
        return _json(_OK, [head._asdict() for head in read.ok_value])

    async def put_configuration(request: Request) -> Response:
        operator = _operator_of(node, request)
        if not operator:
            return _unauthorised(node)
        return await _put(node, operator, await request.read() or b'')

    app.router.add_get(f'{_PREFIX}/configuration', get_configuration)
    app.router.add_get(f'{_PREFIX}/configuration/history', history)
    app.router.add_put(f'{_PREFIX}/configuration', put_configuration)


async def _put(node: NodeState, operator: str, body: bytes) -> Response:
    try:
        submitted = msgspec.json.decode(body, type=PutDocument)
    except msgspec.DecodeError as error:
        return _refuse(node, Code.BAD_REQUEST, str(error))
    checked = validate_document(submitted['document'])
    if isinstance(checked, Err):
        return _faults(checked.err_value)
    published = await publish(
        node.platform,
        Submission(
            checked.ok_value,
            submitted['base_version'],
            operator,
            submitted['reason'],
        ),
    )
    if isinstance(published, Err):
        return _not_published(node, published.err_value)
    return _json(_OK, published.ok_value._asdict())


def _not_published(node: NodeState, failure: Any) -> Response:
    if isinstance(failure, Conflict):
        current = failure.current
        version = 0 if current is None else current.version
        operator = 'nobody' if current is None else current.operator
        detail = f'version {version} by {operator} is current'
        return _refuse(node, Code.CONFLICT, detail)
    return _refuse(node, Code.STORE_UNAVAILABLE, str(failure))


def _status_of(node: NodeState) -> StatusDocument:
    admission = node.gate.state
    return {
        'address': node.here,
        'service': node.service,
        'is_ready': node.configuration.accepted is not None,
        'is_leaving': node.gate.is_leaving,
        'configuration_version': node.configuration.version,
        'slots': admission.policy.slots,
        'in_flight': admission.in_flight_total,
        'queued': admission.queued_total,
        'members': len(node.gossip.known()),
    }


def _operator_of(node: NodeState, request: Request) -> str:
    given = (request.get_first_header(b'authorization') or b'').decode()
    if not given.startswith(_BEARER):
        return ''
    digest = hashlib.sha256(given.removeprefix(_BEARER).encode()).hexdigest()
    for operator in node.settings.get('operators', ()):
        if hmac.compare_digest(operator['token_sha256'], digest):
            return operator['name']
    return ''


def _unauthorised(node: NodeState) -> Response:
    return _refuse(node, Code.UNAUTHORISED, 'no valid operator token')


def _refuse(node: NodeState, code: Code, detail: str) -> Response:
    refusal = NotRun(code, 'control', node.here, detail)
    content = Content(b'application/json', encode_failure(refusal, ''))
    return Response(http_status_of(refusal), content=content)


def _faults(faults: Sequence[Fault]) -> Response:
    return _json(
        _UNPROCESSABLE, {'faults': [fault._asdict() for fault in faults]}
    )


def _json(status: int, document: Any) -> Response:
    encoded = msgspec.json.encode(document)
    return Response(status, content=Content(b'application/json', encoded))
