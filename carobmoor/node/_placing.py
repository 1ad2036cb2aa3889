"""Whether a request runs beside this node, and what running it teaches."""

import random
import time
from typing import Final

from result import Ok, Result

from carobmoor.node._context import RequestContext
from carobmoor.node._exchange import Exchange
from carobmoor.node._state import NodeState
from carobmoor.routing import ChoiceQuery, choose, note_report, note_served
from carobmoor.transport import Answer, CallFailure, parse_address

_FIRST_ERROR_STATUS: Final = 500
_rng: Final = random.Random()


def is_for_another(node: NodeState, context: RequestContext) -> bool:
    """Tell whether a request names an owner that this node is not."""
    is_own = context.service == node.service and context.owner == node.here
    return bool(context.owner) and not is_own


def runs_here(node: NodeState, context: RequestContext) -> bool:
    """Choose for a plain caller's request, this node among the candidates.

    A ticket names the owner. A request that may not be repeated and that
    its caller can send again by name stays here, where copies of it are
    known. Nothing new runs on a node that leaves while there are others.
    """
    if context.service != node.service:
        return False
    if context.owner:
        return True
    if context.ticket is not None:
        return context.ticket.owner == node.here
    if context.is_named and not context.is_repeatable:
        return not node.gate.is_leaving
    return _chooses_itself(node, context)


def note_end(
    node: NodeState,
    exchange: Exchange,
    sent: Result[Answer, CallFailure],
    begun_s: float,
) -> None:
    """Learn from what the backend server made of a request."""
    now_s = time.monotonic()
    if isinstance(sent, Ok):
        succeeded = sent.ok_value.head.status < _FIRST_ERROR_STATUS
        is_streamed = exchange.body.rest is not None
        service_s = None if is_streamed else now_s - begun_s
        note_served(node.served, succeeded, service_s, now_s)
    elif exchange.body.fault is None:
        note_served(node.served, False, None, now_s)


def _chooses_itself(node: NodeState, context: RequestContext) -> bool:
    """Choose by this node's own load as it is, and by others' as reported.

    Another region is no choice while this node can run the request.
    """
    routing = node.dispatcher.routing
    now_s = time.monotonic()
    here = parse_address(node.here)
    known = routing.find(node.service, here)
    if known is None:
        return not node.gate.is_leaving
    note_report(routing, node.service, known, node.report(), now_s)
    query = ChoiceQuery(
        rank=context.rank,
        is_repeatable=context.is_repeatable,
        may_leave_region=False,
    )
    chosen = choose(routing, node.service, query, now_s, _rng)
    return chosen is known
