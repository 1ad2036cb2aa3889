"""Sending one request to all nodes of a deployment."""

import asyncio
import sys
from collections.abc import Sequence
from typing import Final

from result import Err

from carobmoor.cli._environment import tls_context_from_environment
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
_MAX_CONCURRENT_REQUESTS: Final = 64
_MEMBERS_REQUEST: Final = OutgoingRequest('GET', '/_carobmoor/members', ())


async def ask_every_node(
    node: str,
    request: OutgoingRequest,
) -> Sequence[JsonAnswer]:
    """Send a request to every node that `node` knows, itself included.

    Dead members are not asked. A node that does not answer is reported on
    standard error, and the result has no answer of it.
    """
    try:
        contact = parse_address(node)
    except ValueError:
        fail(f'invalid node address {node}: expected IP:PORT')
    pool = ConnectionPool(tls_context_from_environment())
    addresses = await _fetch_node_addresses(pool, contact)
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def ask(address: Address) -> JsonAnswer | None:
        async with semaphore:
            reply = await request_json(pool, address, request, _TIMEOUT_S)
        if isinstance(reply, Err):
            reason = reply.err_value.reason
            sys.stderr.write(f'skipping node {address}: {reason}\n')
            return None
        return reply.ok_value

    answers = await asyncio.gather(*(ask(address) for address in addresses))
    pool.close()
    return [answer for answer in answers if answer is not None]


async def _fetch_node_addresses(
    pool: ConnectionPool,
    contact: Address,
) -> Sequence[Address]:
    reply = await request_json(pool, contact, _MEMBERS_REQUEST, _TIMEOUT_S)
    if isinstance(reply, Err):
        fail(
            f'cannot list the nodes known to {contact}: '
            f'{reply.err_value.reason}'
        )
    return [
        parse_address(member.address)
        for member in decode_members(reply.ok_value.body)
        if member.status is not MemberStatus.DEAD
    ]
