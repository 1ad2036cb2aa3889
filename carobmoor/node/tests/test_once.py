"""What is refused before the table was asked is decided all the same."""

import asyncio
import time
from types import SimpleNamespace

from carobmoor.node._once import refuse_once, run_once
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.tickets import TicketPolicy, TicketTable, mint

HERE = '127.0.0.1:7101'
REFUSAL = NotRun(Code.BODY_STALLED, 'read_request', HERE)


def node_and_context():
    """Make what a node and a request with a ticket are to the functions."""
    table = TicketTable(HERE, TicketPolicy(), time.monotonic())
    node = SimpleNamespace(here=HERE, tickets=table)
    return node, context_of(
        mint(table.grant(time.monotonic()), 'request', 'any', 0)
    )


def context_of(ticket):
    """Make the context of a request with a ticket."""
    return SimpleNamespace(
        request_id='request',
        service='any',
        method='POST',
        target='/x',
        is_repeatable=False,
        ticket=ticket,
    )


def exchange_of(context):
    """Make the exchange of a request whose body is at hand."""
    return SimpleNamespace(
        context=context,
        caller='caller',
        body=SimpleNamespace(is_whole=True, first=b'body'),
        note=lambda *_: None,
        send=None,
        left_s=1,
    )


async def run_forbidden(*_):
    """Stand for a run that must not be."""
    raise AssertionError('a refused request ran')


async def run_lost(*_):
    """Stand for a run whose outcome is lost."""
    return Unknown('awaiting_answer', 'there')


def test_early_refusal_keeps_copies_from_running():
    """A copy that arrives whole after a stalled one is refused as well."""
    node, context = node_and_context()
    assert refuse_once(node, context, REFUSAL) == REFUSAL
    copy = exchange_of(context)
    assert asyncio.run(run_once(node, copy, run_forbidden)) == REFUSAL
    assert refuse_once(node, context, REFUSAL) == REFUSAL


def test_ticket_fits_whichever_node_forwards_it():
    """Copies that come from two addresses share one outcome."""
    node, context = node_and_context()
    first = exchange_of(context)
    other = exchange_of(context)
    other.caller = 'another address'
    lost = asyncio.run(run_once(node, first, run_lost))
    assert asyncio.run(run_once(node, other, run_forbidden)) == lost


def test_early_refusal_after_a_run_is_unknown():
    """A refused copy says nothing of the one that ran."""
    node, context = node_and_context()
    asyncio.run(run_once(node, exchange_of(context), run_lost))
    assert isinstance(refuse_once(node, context, REFUSAL), Unknown)


def test_node_not_ready_knows_no_old_tickets():
    """A restarted owner never says "not run" of a former life's tickets."""
    _, context = node_and_context()
    node, _ = node_and_context()
    refusal = NotRun(Code.NOT_READY, 'configuration', HERE)
    told = refuse_once(node, context, refusal)
    assert isinstance(told, Unknown)
    assert told.code is Code.TICKET_REFUSED


def test_forwarding_node_speaks_for_itself_alone():
    """Only the owner's word is "not run" of a plain caller's ticket."""
    node, context = node_and_context()
    elsewhere = context.ticket._replace(owner='127.0.0.1:7102')
    told = refuse_once(node, context_of(elsewhere), REFUSAL)
    assert isinstance(told, Unknown)
