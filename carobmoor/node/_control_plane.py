"""Control paths of a node, under `/_carobmoor/`."""

from typing import Final, TypedDict

from blacksheep import Application, Content, Request, Response, Router
from result import Err

from carobmoor.burn import take_snapshots
from carobmoor.client import policies_of
from carobmoor.explain import find_record, list_bad_records
from carobmoor.node._configuration_routes import add_configuration_routes
from carobmoor.node._gauges import set_gauges
from carobmoor.node._openapi import serve_openapi
from carobmoor.node._operator_scope import authorise_operator
from carobmoor.node._peer_routes import add_peer_routes
from carobmoor.node._quarantine_routes import add_quarantine_routes
from carobmoor.node._responses import (
    OK,
    authenticate_operator,
    json_response,
    not_run_response,
    unauthorised_response,
)
from carobmoor.node._shutdown import NodeShutdown
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
    shutdown: NodeShutdown,
) -> Application:
    """Create the application that serves the control paths."""
    app = Application(router=Router(), show_error_details=False)
    _add_read_routes(app, node)
    add_configuration_routes(app, node)
    add_peer_routes(app, node)
    add_ticket_routes(app, node)
    add_quarantine_routes(app, node)

    async def drain(request: Request) -> Response:
        permitted = authorise_operator(node, request)
        if isinstance(permitted, Err):
            return permitted.err_value
        shutdown.drain()
        if not request.query.get('keep'):
            shutdown.stop_requested.set()
        return json_response(OK, _status_of(node))

    async def undo_drain(request: Request) -> Response:
        permitted = authorise_operator(node, request)
        if isinstance(permitted, Err):
            return permitted.err_value
        if not shutdown.undo_drain():
            return not_run_response(
                node,
                Code.CONFLICT,
                'too late to undo the drain; the node is stopping',
            )
        return json_response(OK, _status_of(node))

    app.router.add_post(f'{_PREFIX}/drain', drain)
    app.router.add_delete(f'{_PREFIX}/drain', undo_drain)
    serve_openapi(app)
    return app


def _add_read_routes(app: Application, node: NodeState) -> None:
    async def status() -> Response:
        return json_response(OK, _status_of(node))

    async def load() -> Response:
        content = Content(
            b'application/json', encode_report(node.load_report())
        )
        return Response(OK, content=content)

    async def policy() -> Response:
        return json_response(OK, policies_of(node.dispatcher))

    async def metrics(request: Request) -> Response:
        set_gauges(node)
        accepted = request.get_first_header(b'accept') or b''
        if _OPENMETRICS_MEDIA_TYPE in accepted:
            content = Content(
                _OPENMETRICS_CONTENT_TYPE, node.metrics.render_openmetrics()
            )
        else:
            content = Content(_TEXT_CONTENT_TYPE, node.metrics.render())
        return Response(OK, content=content)

    async def explain(request: Request, request_id: str) -> Response:
        if authenticate_operator(node, request) is None:
            return unauthorised_response(node)
        request_record = find_record(node.request_records, request_id)
        if request_record is None:
            return not_run_response(
                node, Code.NOT_FOUND, f'no record of request {request_id}'
            )
        return json_response(OK, request_record)

    async def bad_requests(request: Request) -> Response:
        if authenticate_operator(node, request) is None:
            return unauthorised_response(node)
        return json_response(
            OK, list_bad_records(node.request_records, _MAX_LISTED_REQUESTS)
        )

    app.router.add_get(f'{_PREFIX}/requests', bad_requests)
    app.router.add_get(f'{_PREFIX}/requests/{{request_id}}', explain)

    async def burn() -> Response:
        return json_response(OK, take_snapshots(node.burn, node.objectives()))

    app.router.add_get(f'{_PREFIX}/burn', burn)
    app.router.add_get(f'{_PREFIX}/status', status)
    app.router.add_get(f'{_PREFIX}/load', load)
    app.router.add_get(f'{_PREFIX}/policy', policy)
    app.router.add_get(f'{_PREFIX}/metrics', metrics)


def _status_of(node: NodeState) -> StatusDocument:
    admission = node.gate.state
    return {
        'address': node.address,
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
