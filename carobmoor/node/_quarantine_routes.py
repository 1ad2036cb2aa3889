"""Control paths on which operators list and clear quarantine marks."""

import time
from typing import Final

from blacksheep import Application, Request, Response
from result import Err

from carobmoor.node._operator_scope import authorise_operator
from carobmoor.node._responses import (
    OK,
    authenticate_operator,
    json_response,
    not_run_response,
    unauthorised_response,
)
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Code
from carobmoor.quarantine import list_marks
from carobmoor.telemetry import logger_for

_PATH: Final = '/_carobmoor/quarantine'
_log = logger_for('quarantine')


def add_quarantine_routes(app: Application, node: NodeState) -> None:
    """Add the routes that list and clear marks."""

    async def listed(request: Request) -> Response:
        if authenticate_operator(node, request) is None:
            return unauthorised_response(node)
        marks = list_marks(node.quarantine.state, time.monotonic())
        return json_response(OK, [mark._asdict() for mark in marks])

    async def clear(request: Request, fingerprint: str) -> Response:
        permitted = authorise_operator(node, request)
        if isinstance(permitted, Err):
            return permitted.err_value
        cleared = await node.quarantine.clear(fingerprint)
        if cleared is None:
            return not_run_response(
                node, Code.NOT_FOUND, f'no quarantine mark {fingerprint}'
            )
        name = permitted.ok_value.name
        _log.info('Operator cleared a mark.', mark=fingerprint, operator=name)
        return json_response(OK, cleared._asdict())

    app.router.add_get(_PATH, listed)
    app.router.add_delete(f'{_PATH}/{{fingerprint}}', clear)
