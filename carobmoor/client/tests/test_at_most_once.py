"""Tests of calls sent under tickets: failed copies and new tickets."""

import asyncio
import time

from nose2.tools import params
from result import Err, Ok

from carobmoor.client._at_most_once import TicketClient, send_at_most_once
from carobmoor.client._messages import Call
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.tickets import TicketGrant
from carobmoor.transport import Address, ConnectionPool

OWNER = Address('127.0.0.1', 7101)
OTHER = Address('127.0.0.1', 7102)
LOST = Err(Unknown('awaiting_answer', str(OWNER), 'connection lost'))
LOST_AT_BACKEND = Err(Unknown('awaiting_answer', '127.0.0.1:7201'))
NOT_SENT = Err(NotRun(Code.NOT_SENT, 'connect', str(OWNER)))
FULL = Err(NotRun(Code.QUEUE_FULL, 'admission', str(OWNER)))
REFUSED_TICKET = Err(Unknown('ticket', str(OWNER), '', Code.TICKET_REFUSED))
ANSWERED = Ok('answer')
CALL = Call('any', 'POST', '/x', request_id='request')


class ScriptedSender:
    """Returns scripted results for copies and records their tickets."""

    def __init__(self, *script):
        """Set the results, in the order of the copies."""
        self.script = list(script)
        self.tickets = []

    async def send(self, call, owner, _):
        """Record the ticket and return the next result."""
        assert call.ticket.owner == str(owner)
        self.tickets.append(call.ticket)
        return self.script.pop(0)


def client_with_grants():
    """Return a ticket client with a grant of both owners."""
    ticket_client = TicketClient(ConnectionPool())
    for owner in (OWNER, OTHER):
        ticket_client.store_grant(
            TicketGrant(str(owner), 'first', 1, 60_000, 'key')
        )
    return ticket_client


def attempt(ticket_client, sender, owner=OWNER, call=CALL):
    """Make one attempt at a call."""
    deadline_s = time.monotonic() + 60
    return asyncio.run(
        send_at_most_once(ticket_client, call, owner, deadline_s, sender.send)
    )


@params(
    ((LOST, ANSWERED), ANSWERED, 2),
    ((LOST, FULL), FULL, 2),
    ((LOST, NOT_SENT), LOST, 2),
    ((LOST, REFUSED_TICKET), LOST, 2),
    ((LOST, LOST), LOST, 2),
    ((LOST_AT_BACKEND,), LOST_AT_BACKEND, 1),
    ((FULL,), FULL, 1),
    ((NOT_SENT,), NOT_SENT, 1),
)
def test_lost_copy_is_resent_under_same_ticket(script, outcome, copies):
    """After a lost connection one more copy goes under the same ticket."""
    sender = ScriptedSender(*script)
    assert attempt(client_with_grants(), sender) == outcome
    assert len(sender.tickets) == copies
    assert len(set(sender.tickets)) == 1


def test_refused_only_copy_gets_new_ticket():
    """A ticket refused for the only copy is replaced by a new one."""
    ticket_client = client_with_grants()
    sender = ScriptedSender(REFUSED_TICKET, ANSWERED)
    ticket_client.fetch_grant = _fake_fetch_grant(ticket_client, 'second')
    assert attempt(ticket_client, sender) == ANSWERED
    incarnations = [ticket.incarnation for ticket in sender.tickets]
    assert incarnations == ['first', 'second']


def test_same_request_id_keeps_its_ticket():
    """A request id sent twice keeps its ticket, so that it runs only once."""
    ticket_client = client_with_grants()
    sender = ScriptedSender(LOST_AT_BACKEND, LOST_AT_BACKEND)
    attempt(ticket_client, sender)
    assert attempt(ticket_client, sender, OTHER) == LOST_AT_BACKEND
    assert len(set(sender.tickets)) == 1


def test_not_run_lets_another_owner_get_a_ticket():
    """After "not run" from the owner a ticket of another owner is minted."""
    ticket_client = client_with_grants()
    sender = ScriptedSender(FULL, ANSWERED)
    attempt(ticket_client, sender)
    assert attempt(ticket_client, sender, OTHER) == ANSWERED
    assert [ticket.owner for ticket in sender.tickets] == [
        str(OWNER),
        str(OTHER),
    ]
    assert [ticket.attempt for ticket in sender.tickets] == [0, 1]


def test_unsent_copy_leaves_outcome_unknown():
    """An unsent copy proves nothing if an earlier copy may have run."""
    ticket_client = client_with_grants()
    attempt(ticket_client, ScriptedSender(LOST_AT_BACKEND))
    send_result = attempt(ticket_client, ScriptedSender(NOT_SENT))
    assert isinstance(send_result.unwrap_err(), Unknown)


def _fake_fetch_grant(ticket_client, incarnation):
    async def fetch_grant(owner):
        grant = TicketGrant(str(owner), incarnation, 1, 60_000, 'key')
        ticket_client.store_grant(grant)
        return grant

    return fetch_grant
