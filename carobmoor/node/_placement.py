"""Whether a request runs at this node, and recording its result."""

import random
import time
from typing import Final

from result import Ok, Result

from carobmoor.node._context import RequestContext
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._state import NodeState
from carobmoor.routing import (
    ChoiceQuery,
    choose,
    record_report,
    record_served_request,
)
from carobmoor.transport import Answer, CallFailure, parse_address

_FIRST_SERVER_ERROR_STATUS: Final = 500
_rng: Final = random.Random()


def names_other_owner(node: NodeState, context: RequestContext) -> bool:
    """Return whether a request names an owner other than this node."""
    is_own = context.service == node.service and context.owner == node.address
    return bool(context.owner) and not is_own


def should_run_here(node: NodeState, context: RequestContext) -> bool:
    """Return whether to run a request at this node or to forward it.

    A request with an owner or a ticket runs at the node that it names. A
    request that may not be repeated but can be sent again with the same id
    stays here, where its copies are recognised. Other requests go to the best
    candidate. A node that is leaving forwards every request that names
    neither an owner nor a ticket, so that it starts nothing new.
    """
    if context.service != node.service:
        return False
    if context.owner:
        return True
    if context.ticket is not None:
        return context.ticket.owner == node.address
    if context.is_identifiable and not context.is_repeatable:
        return not node.gate.is_leaving
    return _is_own_node_best(node, context)


def record_backend_result(
    node: NodeState,
    pending: PendingRequest,
    sent: Result[Answer, CallFailure],
    sent_at_s: float,
) -> None:
    """Update the success rate and service time of the backend server.

    A streamed body gives no service time, and a failure of the body says
    nothing about the backend server.
    """
    now_s = time.monotonic()
    if isinstance(sent, Ok):
        succeeded = sent.ok_value.head.status < _FIRST_SERVER_ERROR_STATUS
        is_streamed = pending.body.remaining_chunks is not None
        service_s = None if is_streamed else now_s - sent_at_s
        record_served_request(
            node.backend_statistics, succeeded, service_s, now_s
        )
    elif pending.body.error_code is None:
        record_served_request(node.backend_statistics, False, None, now_s)


def _is_own_node_best(node: NodeState, context: RequestContext) -> bool:
    """Return whether this node is the best candidate for a request.

    Its own load is current; that of the others is as last reported. Nodes in
    other regions are excluded, since this node can run the request.
    """
    routing = node.dispatcher.routing
    now_s = time.monotonic()
    own_address = parse_address(node.address)
    own_candidate = routing.find_candidate(node.service, own_address)
    if own_candidate is None:
        return not node.gate.is_leaving
    record_report(
        routing, node.service, own_candidate, node.load_report(), now_s
    )
    query = ChoiceQuery(
        rank=context.rank,
        is_repeatable=context.is_repeatable,
        may_leave_region=False,
    )
    chosen = choose(routing, node.service, query, now_s, _rng)
    return chosen is own_candidate
