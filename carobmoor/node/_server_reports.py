"""Records what the own backend server reports of itself with its answers."""

from typing import Final

from carobmoor.node._state import NodeState
from carobmoor.telemetry import logger_for
from carobmoor.transport import HeaderList, get_header

# Requests per second that the server takes from all callers together.
_RATE_LIMIT_HEADER: Final = b'x-carobmoor-rate-limit'
_LEAVING_HEADER: Final = b'x-carobmoor-leaving'
_LEAVING: Final = '1'
_log = logger_for('server')


def record_server_report(
    node: NodeState, headers: HeaderList, sent_at_s: float
) -> None:
    """Record the rate limit and the leaving that an answer reports.

    `sent_at_s` is when its request was sent. Once the server leaves, its node
    drains, as if an operator had asked for it.
    """
    server = str(node.backend_server)
    node.gate.record_rate_limit(
        get_header(headers, _RATE_LIMIT_HEADER), sent_at_s, server
    )
    is_leaving = get_header(headers, _LEAVING_HEADER) == _LEAVING
    if is_leaving and not node.gate.is_leaving:
        _log.info('Backend server says that it leaves.', instance=server)
        node.on_server_leaving()
