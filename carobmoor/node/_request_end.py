"""Metrics, logs and burn of requests that have ended at this node."""

import time
from typing import Final

from carobmoor.burn import (
    Cause,
    Timing,
    attribute_failure,
    attribute_late_answer,
    record_answer,
)
from carobmoor.explain import RequestRecord, is_sampled, keep_record
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Failure, NotRun
from carobmoor.telemetry import logger_for

_log: Final = logger_for('requests')


def record_request_end(
    node: NodeState,
    pending: PendingRequest,
    failure: Failure | None,
) -> None:
    """Record an ended request in the metrics, the logs and the error budget.

    Burn is recorded once per request: at the owner, or, if no owner answered,
    at the node to which a caller without the client library sent the request.
    """
    context = pending.context
    rank = context.rank or node.default_rank
    outcome = 'answered' if failure is None else failure.code.value
    failed_id = '' if failure is None else context.request_id
    node.count_request(
        context.service,
        rank,
        outcome,
        pending.started_s,
        failed_id,
    )
    if failure is not None:
        _log_failure(pending, failure)
    elapsed_s = time.monotonic() - pending.started_s
    cause = _cause_of_bad_answer(node, pending, elapsed_s, failure)
    is_bad = failure is not None or cause is not None
    _keep_request_record(node, pending, failure, is_bad)
    answered_elsewhere = failure is None and pending.is_forwarded
    is_fault_of_caller = failure is not None and cause is None
    if not answered_elsewhere and not is_fault_of_caller:
        record_answer(
            node.burn, context.service, rank, elapsed_s, cause, time.time()
        )


def _log_failure(pending: PendingRequest, failure: Failure) -> None:
    """Log a failure; "not run" only at debug level, as overload causes many."""
    log = _log.debug if isinstance(failure, NotRun) else _log.warning
    log(
        'Request failed.',
        request_id=pending.context.request_id,
        service=pending.context.service,
        code=failure.code.value,
        step=failure.step,
        peer=failure.peer,
    )


def _keep_request_record(
    node: NodeState,
    pending: PendingRequest,
    failure: Failure | None,
    is_bad: bool,
) -> None:
    context = pending.context
    if not is_bad and not is_sampled(context.request_id):
        return
    outcome = 'answered'
    if failure is not None:
        outcome = failure.code.value
        pending.add_note(
            failure.step, outcome, f'{failure.peer} {failure.detail}'
        )
    request_record = RequestRecord(
        context.request_id,
        node.address,
        context.service,
        context.rank,
        pending.caller,
        context.depth,
        time.time() - (time.monotonic() - pending.started_s),
        outcome,
        pending.steps,
    )
    keep_record(node.request_records, request_record, is_bad)


def _cause_of_bad_answer(
    node: NodeState,
    pending: PendingRequest,
    elapsed_s: float,
    failure: Failure | None,
) -> Cause | None:
    if failure is not None:
        cause = attribute_failure(failure, str(node.backend_server))
        queued_longer = pending.queued_s > pending.service_s
        is_queueing = cause is Cause.BACKEND_SERVER and queued_longer
        return Cause.QUEUEING if is_queueing else cause
    rank = pending.context.rank or node.default_rank
    if elapsed_s <= node.target_s_by_rank[rank]:
        return None
    typical_s = node.gate.state.service_time_s
    return attribute_late_answer(
        Timing(elapsed_s, pending.queued_s, pending.service_s, typical_s),
    )
