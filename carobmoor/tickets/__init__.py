"""At-most-once execution of non-idempotent requests, by tickets.

The owner of a backend server decides about each request id once and
remembers the decision for as long as it accepts the ticket. The decisions are
plain functions over `TicketTable` and a passed-in time.
"""

from carobmoor.tickets._decide import (
    admit,
    advance_epochs,
    outcome_of,
    record_outcome,
)
from carobmoor.tickets._grants import GrantBook, SentTicket
from carobmoor.tickets._messages import (
    GRANT_HEADER,
    REPEATABLE_HEADER,
    TICKET_HEADER,
    PresentedRequest,
    Progress,
    StoredAnswer,
    Ticket,
    TicketGrant,
    TicketPolicy,
    decode_grant,
    decode_ticket,
    encode_grant,
    encode_ticket,
)
from carobmoor.tickets._mint import mint
from carobmoor.tickets._state import (
    Decision,
    Start,
    TicketTable,
    Told,
    Verdict,
    Wait,
)

__all__ = [
    'GRANT_HEADER',
    'REPEATABLE_HEADER',
    'TICKET_HEADER',
    'Decision',
    'GrantBook',
    'PresentedRequest',
    'Progress',
    'SentTicket',
    'Start',
    'StoredAnswer',
    'Ticket',
    'TicketGrant',
    'TicketPolicy',
    'TicketTable',
    'Told',
    'Verdict',
    'Wait',
    'admit',
    'advance_epochs',
    'decode_grant',
    'decode_ticket',
    'encode_grant',
    'encode_ticket',
    'mint',
    'outcome_of',
    'record_outcome',
]
