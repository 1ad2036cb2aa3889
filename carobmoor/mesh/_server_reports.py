"""Records what the own backend server reports of itself with its answers."""

from typing import NamedTuple

from carobmoor.admission import RateLimit, read_rate_limit
from carobmoor.mesh._backend import Backend, read_load
from carobmoor.mesh._messages import HeaderNames
from carobmoor.telemetry import logger_for
from carobmoor.transport import HeaderList, get_header

_log = logger_for('limit')


class ReportTargets(NamedTuple):
    """Where the reports of the own backend server are recorded."""

    names: HeaderNames
    backend: Backend
    rate_limit: RateLimit


def record_report(
    targets: ReportTargets,
    headers: HeaderList,
    sent_at_s: float,
    now_s: float,
) -> None:
    """Record the load and the rate limit in the headers of an answer.

    `sent_at_s` is when its request was sent. Answers to health checks count
    like any others.
    """
    names = targets.names
    load = read_load(get_header(headers, names.load))
    if load is not None:
        targets.backend.record_slowdown(load.slowdown_percent, now_s)
    content = get_header(headers, names.rate_limit)
    named_per_s = read_rate_limit(content)
    if content and named_per_s is None:
        _log.warning(
            'Rate limit of the backend server unreadable; ignored.',
            instance=targets.backend.instance_id,
            content=content,
        )
        return
    before_per_s = targets.rate_limit.per_s
    if targets.rate_limit.record_answer(named_per_s, sent_at_s, now_s):
        _log.info(
            'Backend server changed its rate limit.',
            instance=targets.backend.instance_id,
            per_s=targets.rate_limit.per_s,
            before_per_s=before_per_s,
        )
