"""Records what the own backend server reports of itself with its answers."""

import math
from typing import Final, NamedTuple

from carobmoor.admission import Gate
from carobmoor.mesh._backend import Backend, read_load
from carobmoor.mesh._messages import HeaderNames
from carobmoor.telemetry import logger_for
from carobmoor.transport import AnswerHead, HeaderList, get_header

_LEAVING: Final = '1'
_OK: Final = 200
# A longer cold time is not plausible; it would limit the server for good.
_MAX_COLD_MS: Final = 3_600_000
_log = logger_for('server')


class ReportTargets(NamedTuple):
    """Where the reports of the own backend server are recorded."""

    names: HeaderNames
    backend: Backend
    gate: Gate


class AskedServer(NamedTuple):
    """When a request was sent, and to which instance of the server."""

    sent_at_s: float
    instance_id: str


def says_leaving(names: HeaderNames, headers: HeaderList) -> bool:
    """Return whether an answer says that its server leaves."""
    return get_header(headers, names.leaving) == _LEAVING


def record_report(
    targets: ReportTargets,
    headers: HeaderList,
    asked: AskedServer,
    now_s: float,
) -> None:
    """Record load, rate limit and leaving in the headers of an answer.

    Answers to health checks count like any others. Once the server leaves,
    waiting requests are refused at once.
    """
    names = targets.names
    is_leaving = says_leaving(names, headers)
    if is_leaving and targets.backend.record_leaving(asked.instance_id):
        _log.info(
            'Backend server says that it leaves.', instance=asked.instance_id
        )
        targets.gate.refuse_waiting()
    load = read_load(get_header(headers, names.load))
    if load is not None:
        targets.backend.record_slowdown(load.slowdown_percent, now_s)
    targets.gate.record_rate_limit(
        get_header(headers, names.rate_limit),
        asked.sent_at_s,
        targets.backend.instance_id,
    )


def record_health(
    targets: ReportTargets,
    head: AnswerHead,
    asked: AskedServer,
    now_s: float,
) -> None:
    """Record the answer to a health check.

    Besides what every answer reports, a successful one says how much longer
    the server is cold. Without that it is not cold.
    """
    record_report(targets, head.headers, asked, now_s)
    if head.status != _OK:
        return
    content = get_header(head.headers, targets.names.cold_ms)
    remaining_ms = _read_cold_ms(content) if content else 0
    if remaining_ms is None:
        _log.warning(
            'Cold time of the backend server unreadable; ignored.',
            instance=asked.instance_id,
            content=content,
        )
        return
    targets.gate.state.cold_starts.record_health(
        remaining_ms, asked.sent_at_s, now_s
    )


def _read_cold_ms(content: str) -> float | None:
    """Parse a cold time; `None` if it is malformed."""
    try:
        remaining_ms = float(content)
    except ValueError:
        return None
    if not math.isfinite(remaining_ms) or remaining_ms < 0:
        return None
    return min(remaining_ms, _MAX_COLD_MS)
