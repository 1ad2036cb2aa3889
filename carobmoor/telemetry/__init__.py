"""Structured logs and metrics of a process."""

from carobmoor.telemetry._logs import (
    DropCounters,
    configure_bounded_logs,
    configure_logs,
    logger_for,
    set_log_level,
)
from carobmoor.telemetry._metrics import NodeMetrics

__all__ = [
    'DropCounters',
    'NodeMetrics',
    'configure_bounded_logs',
    'configure_logs',
    'logger_for',
    'set_log_level',
]
