"""The control paths of a node, under `/_carobmoor/`."""

from collections.abc import Callable
from typing import Final, TypedDict

from blacksheep import Application, Content, Request, Response, Router

from carobmoor.burn import take_snapshots
from carobmoor.explain import find_record, recent_bad
from carobmoor.node._configure import route_configuration
from carobmoor.node._peers import route_peers
from carobmoor.node._quarantine import route_quarantine
from carobmoor.node._replies import (
    OK,
    as_json,
    operator_of,
    refuse,
    unauthorised,
)
from carobmoor.node._scope import refuse_stranger
from carobmoor.node._state import NodeState
from carobmoor.node._ticket_routes import route_tickets
from carobmoor.outcomes import Code

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


def make_control_plane(
    node: NodeState,
    start_leaving: Callable[[], None],
) -> Application:
    """Make the application that serves the control paths."""
    app = Application(router=Router(), show_error_details=False)
    _route_reads(app, node)
    route_configuration(app, node)
    route_peers(app, node)
    route_tickets(app, node)
    route_quarantine(app, node)

    async def drain(request: Request) -> Response:
        operator = operator_of(node, request)
        if operator is None:
            return unauthorised(node)
        refused = refuse_stranger(node, operator)
        if refused is not None:
            return refused
        start_leaving()
        return as_json(OK, _status_of(node))

    app.router.add_post(f'{_PREFIX}/drain', drain)
    return app


def _route_reads(app: Application, node: NodeState) -> None:
    async def status() -> Response:
        return as_json(OK, _status_of(node))

    async def metrics() -> Response:
        node.metrics.in_flight.set(node.gate.state.in_flight_total)
        node.metrics.queued.set(node.gate.state.queued_total)
        content = Content(b'text/plain; version=0.0.4', node.metrics.render())
        return Response(OK, content=content)

    async def explain(request: Request, request_id: str) -> Response:
        if operator_of(node, request) is None:
            return unauthorised(node)
        kept = find_record(node.records, request_id)
        if kept is None:
            return refuse(node, Code.NOT_FOUND, 'no record of this request')
        return as_json(OK, kept)

    async def bad_requests(request: Request) -> Response:
        if operator_of(node, request) is None:
            return unauthorised(node)
        return as_json(OK, recent_bad(node.records, _MOST_LISTED))

    app.router.add_get(f'{_PREFIX}/requests', bad_requests)
    app.router.add_get(f'{_PREFIX}/requests/{{request_id}}', explain)

    async def burn() -> Response:
        return as_json(OK, take_snapshots(node.burn, node.objectives()))

    app.router.add_get(f'{_PREFIX}/burn', burn)
    app.router.add_get(f'{_PREFIX}/status', status)
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
        'in_flight': admission.in_flight_total,
        'queued': admission.queued_total,
        'members': len(node.gossip.known()),
    }
