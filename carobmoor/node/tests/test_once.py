"""Guards against a request being reported as "not run" that runs after all.

A request may be refused before the ticket table is asked, for example because
its body stalls, while another copy of it runs or arrives later.
"""

import asyncio
import time
from types import SimpleNamespace

from carobmoor.node._once import refuse_once, run_once
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.tickets import TicketPolicy, TicketTable, mint

HERE = '127.0.0.1:7101'
REFUSAL = NotRun(Code.BODY_STALLED, 'read_request', HERE)


def node_and_context():
    """Create a stub node and the context of a request with its ticket."""
    table = TicketTable(HERE, TicketPolicy(), time.monotonic())
    node = SimpleNamespace(here=HERE, tickets=table)
    return node, context_of(
        mint(table.grant(time.monotonic()), 'request', 'any', 0)
    )


def context_of(ticket):
    """Create the context of a request with a ticket."""
    return SimpleNamespace(
        request_id='request',
        service='any',
        method='POST',
        target='/x',
        is_repeatable=False,
        ticket=ticket,
    )


def exchange_of(context):
    """Create the exchange of a request whose body was read."""
    return SimpleNamespace(
        context=context,
        caller='caller',
        body=SimpleNamespace(is_whole=True, first=b'body'),
        note=lambda *_: None,
        send=None,
        left_s=1,
    )


async def run_forbidden(*_):
    """Fail the test, since the request must not run."""
    raise AssertionError('a refused request ran')


async def run_lost(*_):
    """Return an unknown outcome, as after a lost connection."""
    return Unknown('awaiting_answer', 'there')


def test_early_refusal_keeps_copies_from_running():
    """A complete copy after a stalled one gets the same refusal."""
    node, context = node_and_context()
    assert refuse_once(node, context, REFUSAL) == REFUSAL
    copy = exchange_of(context)
    assert asyncio.run(run_once(node, copy, run_forbidden)) == REFUSAL
    assert refuse_once(node, context, REFUSAL) == REFUSAL


def test_ticket_fits_whichever_node_forwards_it():
    """Copies of a request from two addresses get one outcome."""
    node, context = node_and_context()
    first = exchange_of(context)
    other = exchange_of(context)
    other.caller = 'another address'
    lost = asyncio.run(run_once(node, first, run_lost))
    assert asyncio.run(run_once(node, other, run_forbidden)) == lost


def test_early_refusal_after_a_run_is_unknown():
    """A refused copy does not make the one that ran "not run"."""
    node, context = node_and_context()
    asyncio.run(run_once(node, exchange_of(context), run_lost))
    assert isinstance(refuse_once(node, context, REFUSAL), Unknown)


def test_node_not_ready_knows_no_old_tickets():
    """A restarted owner never reports earlier tickets as "not run"."""
    _, context = node_and_context()
    node, _ = node_and_context()
    refusal = NotRun(Code.NOT_READY, 'configuration', HERE)
    told = refuse_once(node, context, refusal)
    assert isinstance(told, Unknown)
    assert told.code is Code.TICKET_REFUSED


def test_forwarding_node_speaks_for_itself_alone():
    """Only the owner may report a request with a ticket as "not run"."""
    node, context = node_and_context()
    elsewhere = context.ticket._replace(owner='127.0.0.1:7102')
    told = refuse_once(node, context_of(elsewhere), REFUSAL)
    assert isinstance(told, Unknown)
