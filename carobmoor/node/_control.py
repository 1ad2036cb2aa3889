"""Control paths of a node, under `/_carobmoor/`."""

from typing import Final, TypedDict

from blacksheep import Application, Content, Request, Response, Router
from result import Err

from carobmoor.burn import take_snapshots
from carobmoor.client import policies_of
from carobmoor.explain import find_record, recent_bad
from carobmoor.node._configure import add_configuration_routes
from carobmoor.node._departure import Departure
from carobmoor.node._gauges import set_gauges
from carobmoor.node._openapi import serve_openapi
from carobmoor.node._peers import add_peer_routes
from carobmoor.node._quarantine import add_quarantine_routes
from carobmoor.node._replies import (
    OK,
    as_json,
    operator_of,
    refuse,
    unauthorised,
)
from carobmoor.node._scope import operator_in_scope
from carobmoor.node._state import NodeState
from carobmoor.node._ticket_routes import add_ticket_routes
from carobmoor.outcomes import Code
from carobmoor.routing import encode_report

_PREFIX: Final = '/_carobmoor'
_TEXT_CONTENT_TYPE: Final = b'text/plain; version=0.0.4'
_OPENMETRICS_MEDIA_TYPE: Final = b'application/openmetrics-text'
_OPENMETRICS_CONTENT_TYPE: Final = (
    b'application/openmetrics-text; version=1.0.0'
)
_MAX_LISTED_REQUESTS: Final = 100


class StatusDocument(TypedDict):
    """Status of a node as operators read it."""

    address: str
    service: str
    is_ready: bool
    is_leaving: bool
    configuration_version: int
    slots: int
    concurrency_limit: int
    in_flight: int
    queued: int
    members: int


def make_control_plane(
    node: NodeState,
    departure: Departure,
) -> Application:
    """Create the application that serves the control paths."""
    app = Application(router=Router(), show_error_details=False)
    _add_read_routes(app, node)
    add_configuration_routes(app, node)
    add_peer_routes(app, node)
    add_ticket_routes(app, node)
    add_quarantine_routes(app, node)

    async def drain(request: Request) -> Response:
        permitted = operator_in_scope(node, request)
        if isinstance(permitted, Err):
            return permitted.err_value
        departure.drain()
        if not request.query.get('keep'):
            departure.stop_requested.set()
        return as_json(OK, _status_of(node))

    async def undo_drain(request: Request) -> Response:
        permitted = operator_in_scope(node, request)
        if isinstance(permitted, Err):
            return permitted.err_value
        if not departure.undo_drain():
            return refuse(
                node,
                Code.CONFLICT,
                'too late to undo the drain; the node is stopping',
            )
        return as_json(OK, _status_of(node))

    app.router.add_post(f'{_PREFIX}/drain', drain)
    app.router.add_delete(f'{_PREFIX}/drain', undo_drain)
    serve_openapi(app)
    return app


def _add_read_routes(app: Application, node: NodeState) -> None:
    async def status() -> Response:
        return as_json(OK, _status_of(node))

    async def load() -> Response:
        content = Content(b'application/json', encode_report(node.report()))
        return Response(OK, content=content)

    async def policy() -> Response:
        return as_json(OK, policies_of(node.dispatcher))

    async def metrics(request: Request) -> Response:
        set_gauges(node)
        accepted = request.get_first_header(b'accept') or b''
        if _OPENMETRICS_MEDIA_TYPE in accepted:
            content = Content(
                _OPENMETRICS_CONTENT_TYPE, node.metrics.render_open()
            )
        else:
            content = Content(_TEXT_CONTENT_TYPE, node.metrics.render())
        return Response(OK, content=content)

    async def explain(request: Request, request_id: str) -> Response:
        if operator_of(node, request) is None:
            return unauthorised(node)
        request_record = find_record(node.records, request_id)
        if request_record is None:
            return refuse(
                node, Code.NOT_FOUND, f'no record of request {request_id}'
            )
        return as_json(OK, request_record)

    async def bad_requests(request: Request) -> Response:
        if operator_of(node, request) is None:
            return unauthorised(node)
        return as_json(OK, recent_bad(node.records, _MAX_LISTED_REQUESTS))

    app.router.add_get(f'{_PREFIX}/requests', bad_requests)
    app.router.add_get(f'{_PREFIX}/requests/{{request_id}}', explain)

    async def burn() -> Response:
        return as_json(OK, take_snapshots(node.burn, node.objectives()))

    app.router.add_get(f'{_PREFIX}/burn', burn)
    app.router.add_get(f'{_PREFIX}/status', status)
    app.router.add_get(f'{_PREFIX}/load', load)
    app.router.add_get(f'{_PREFIX}/policy', policy)
    app.router.add_get(f'{_PREFIX}/metrics', metrics)


def _status_of(node: NodeState) -> StatusDocument:
    admission = node.gate.state
    return {
        'address': node.here,
        'service': node.service,
        'is_ready': node.configuration.accepted is not None,
        'is_leaving': node.gate.is_leaving,
        'configuration_version': node.configuration.version,
        'slots': admission.policy.slots,
        'concurrency_limit': admission.concurrency_limit.limit,
        'in_flight': admission.in_flight_total,
        'queued': admission.queued_total,
        'members': len(node.gossip.live_members()),
    }
