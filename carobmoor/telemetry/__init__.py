"""Logs and metrics of a process."""

from carobmoor.telemetry._logs import configure_logs, logger_for, set_log_level
from carobmoor.telemetry._metrics import NodeMetrics

__all__ = ['NodeMetrics', 'configure_logs', 'logger_for', 'set_log_level']
