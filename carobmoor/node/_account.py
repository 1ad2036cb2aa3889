"""Counting a request that ended at this node."""

import time

from carobmoor.burn import (
    Cause,
    Timing,
    cause_of_failure,
    cause_of_lateness,
    record,
)
from carobmoor.node._exchange import Exchange
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Failure


def account(
    node: NodeState,
    exchange: Exchange,
    failure: Failure | None,
) -> None:
    """Count one ended request in the metrics and against its objective.

    Burn is recorded once for each request: at its owner, and at the node
    that a plain caller chose when no owner answered.
    """
    context = exchange.context
    rank = context.rank or node.default_rank
    outcome = 'answered' if failure is None else failure.code.value
    node.count(context.service, rank, outcome, exchange.started_s)
    answered_elsewhere = failure is None and context.service != node.service
    if answered_elsewhere:
        return
    took_s = time.monotonic() - exchange.started_s
    cause = _cause(node, exchange, took_s, failure)
    is_fault_of_caller = failure is not None and cause is None
    if not is_fault_of_caller:
        record(node.burn, context.service, rank, took_s, cause, time.time())


def _cause(
    node: NodeState,
    exchange: Exchange,
    took_s: float,
    failure: Failure | None,
) -> Cause | None:
    if failure is not None:
        cause = cause_of_failure(failure, str(node.backend_server))
        waited_longer = exchange.queued_s > exchange.served_s
        lost_late = cause is Cause.BACKEND_SERVER and waited_longer
        return Cause.QUEUEING if lost_late else cause
    rank = exchange.context.rank or node.default_rank
    if took_s <= node.target_s_by_rank[rank]:
        return None
    usual_s = node.gate.state.service_time_s
    return cause_of_lateness(
        Timing(took_s, exchange.queued_s, exchange.served_s, usual_s),
    )
