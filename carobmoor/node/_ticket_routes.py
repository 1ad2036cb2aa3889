"""Control paths that issue ticket grants and tickets."""

import time
import uuid
from typing import Any, Final, NotRequired, TypedDict

import msgspec
from blacksheep import Application, Content, Request, Response
from result import Err

from carobmoor.decoding import decode_json
from carobmoor.node._state import NodeState
from carobmoor.outcomes import (
    Code,
    Failure,
    NotRun,
    encode_failure,
    http_status_of,
)
from carobmoor.tickets import advance_epochs, encode_ticket

_OK: Final = 200
_PREFIX: Final = '/_carobmoor'


class TicketRequest(TypedDict):
    """Body of a plain caller's request for a ticket."""

    service: str
    request_id: NotRequired[str]


class TicketResponse(TypedDict):
    """A ticket, encoded as in its header, and its request id."""

    request_id: str
    ticket: str


def add_ticket_routes(app: Application, node: NodeState) -> None:
    """Add the routes for this node's grants and for plain callers' tickets."""

    async def ticket_grant() -> Response:
        now_s = time.monotonic()
        advance_epochs(node.tickets, now_s)
        return _json_response(node.tickets.grant(now_s))

    async def ticket(request: Request) -> Response:
        body = await request.read() or b''
        try:
            ticket_request = decode_json(body, TicketRequest)
        except msgspec.DecodeError as error:
            detail = str(error)
            return _failure_response(
                NotRun(Code.BAD_REQUEST, 'control', node.address, detail)
            )
        request_id = ticket_request.get('request_id') or uuid.uuid4().hex
        minted = await node.dispatcher.choose_and_mint(
            ticket_request['service'], request_id
        )
        if isinstance(minted, Err):
            return _failure_response(minted.err_value)
        ticket_response: TicketResponse = {
            'request_id': request_id,
            'ticket': encode_ticket(minted.ok_value).decode(),
        }
        return _json_response(ticket_response)

    app.router.add_get(f'{_PREFIX}/ticket-grant', ticket_grant)
    app.router.add_post(f'{_PREFIX}/tickets', ticket)


def _failure_response(failure: Failure) -> Response:
    content = Content(b'application/json', encode_failure(failure, ''))
    return Response(http_status_of(failure), content=content)


def _json_response(document: Any) -> Response:
    encoded = msgspec.json.encode(document)
    return Response(_OK, content=Content(b'application/json', encoded))
