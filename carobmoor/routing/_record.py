"""What an owner measures of its backend server for its load reports."""

import math
from typing import Final

from carobmoor.routing._success_rate import SuccessRate

_SUCCESS_SMOOTHING: Final = 0.1
_SERVICE_TIME_SMOOTHING: Final = 0.1
_MIN_SERVICE_S: Final = 0.0001
_US_PER_S: Final = 1_000_000
_PERMILLE: Final = 1000
_MS_PER_S: Final = 1000


class BackendStatistics:
    """The recent success rate and service time of one backend server.

    The service time is a geometric mean, so that one large transfer does not
    make its server look slow.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self.success = SuccessRate(_SUCCESS_SMOOTHING)
        self.log_service_s: float | None = None


def record_served_request(
    record: BackendStatistics,
    succeeded: bool,
    service_s: float | None,
    now_s: float,
) -> None:
    """Record one request that the backend server ended.

    `service_s` is `None` if the time does not reflect the server's speed, for
    example because the caller was slow to send the body.
    """
    record.success.record_outcome(succeeded, now_s)
    if not succeeded or service_s is None:
        return
    log_sample_s = math.log(max(_MIN_SERVICE_S, service_s))
    if record.log_service_s is None:
        record.log_service_s = log_sample_s
    gap = log_sample_s - record.log_service_s
    record.log_service_s += _SERVICE_TIME_SMOOTHING * gap


def service_time_us(record: BackendStatistics) -> int:
    """Return the typical service time, or 0 while it is unknown."""
    if record.log_service_s is None:
        return 0
    return int(math.exp(record.log_service_s) * _US_PER_S)


def outcome_age_ms(record: BackendStatistics, now_s: float) -> int:
    """Return the time since the last request ended."""
    return int((now_s - record.success.updated_at_s) * _MS_PER_S)


def success_permille(record: BackendStatistics, now_s: float) -> int:
    """Return the share of recent successes."""
    return round(record.success.rate_at(now_s) * _PERMILLE)
