"""Quarantine of requests that crash the backend server."""

from typing import Final

from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._state import NodeState
from carobmoor.quarantine import Permit, RequestIdentity
from carobmoor.transport import CallFailure, get_header, proves_not_run

_IDEMPOTENCY_KEY: Final = b'idempotency-key'


def identity_of(pending: PendingRequest) -> RequestIdentity:
    """Return the properties by which quarantine recognises a request."""
    context = pending.context
    return RequestIdentity(
        context.service,
        context.method,
        context.target,
        pending.caller,
        get_header(pending.headers, _IDEMPOTENCY_KEY),
        pending.body.digest.hexdigest,
    )


async def record_lost_connection(
    node: NodeState,
    pending: PendingRequest,
    permit: Permit,
    failure: CallFailure,
) -> None:
    """Report a connection lost by the backend server to quarantine.

    Calls that reached their deadline, whose caller aborted the body, or of
    which nothing was written are no evidence of a crash.
    """
    if proves_not_run(failure):
        node.quarantine.crash_detector.end(permit)
    elif pending.body.error_code is None and pending.remaining_s > 0:
        await node.quarantine.crash_detector.connection_lost(permit)
