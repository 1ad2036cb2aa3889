"""Asking every node that one node knows."""

import asyncio
import sys
from collections.abc import Sequence
from typing import Final

from result import Err

from carobmoor.cli._environment import tls_of_environment
from carobmoor.cli._output import fail
from carobmoor.membership import MemberStatus, decode_members
from carobmoor.transport import (
    Address,
    ConnectionPool,
    JsonAnswer,
    OutgoingRequest,
    parse_address,
    request_json,
)

_TIMEOUT_S: Final = 5
_MOST_AT_ONCE: Final = 64
_MEMBERS: Final = OutgoingRequest('GET', '/_carobmoor/members', ())


async def ask_every_node(
    node: str,
    request: OutgoingRequest,
) -> Sequence[JsonAnswer]:
    """Send a request to every node that `node` knows, itself included.

    A node that does not answer is named on standard error and left out.
    """
    try:
        first = parse_address(node)
    except ValueError:
        fail(f'{node} is no address; give it as IP:PORT')
    pool = ConnectionPool(tls_of_environment())
    addresses = await _nodes_known_to(pool, first)
    room = asyncio.Semaphore(_MOST_AT_ONCE)

    async def ask(address: Address) -> JsonAnswer | None:
        async with room:
            told = await request_json(pool, address, request, _TIMEOUT_S)
        if isinstance(told, Err):
            reason = told.err_value.reason
            sys.stderr.write(f'{address} is left out: {reason}\n')
            return None
        return told.ok_value

    answers = await asyncio.gather(*(ask(address) for address in addresses))
    pool.close()
    return [answer for answer in answers if answer is not None]


async def _nodes_known_to(
    pool: ConnectionPool,
    first: Address,
) -> Sequence[Address]:
    told = await request_json(pool, first, _MEMBERS, _TIMEOUT_S)
    if isinstance(told, Err):
        fail(f'{first}: {told.err_value.reason}')
    return [
        parse_address(member.address)
        for member in decode_members(told.ok_value.body)
        if member.status is not MemberStatus.DEAD
    ]
