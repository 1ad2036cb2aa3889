"""Records what the own backend server reports of itself with its answers."""

from typing import Final, NamedTuple

from carobmoor.admission import Gate
from carobmoor.mesh._backend import Backend, read_load
from carobmoor.mesh._messages import HeaderNames
from carobmoor.telemetry import logger_for
from carobmoor.transport import HeaderList, get_header

_LEAVING: Final = '1'
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
