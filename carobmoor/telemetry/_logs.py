"""Structured logs as JSON lines; each event is prefixed with its component."""

import logging
import sys
from typing import Any, Final, NamedTuple

import structlog

from carobmoor.telemetry._bounded_output import (
    EventRateLimit,
    NonBlockingWriter,
)

_SECRET_KEYS: Final = frozenset(('token', 'authorization', 'password', 'key'))
_EVENT_FORMAT: Final = '[{part}] {event}'


class DropCounters(NamedTuple):
    """The two places that drop log lines and count them."""

    limit: EventRateLimit
    writer: NonBlockingWriter

    @property
    def total(self) -> int:
        """All lines that this process dropped."""
        return self.limit.dropped + self.writer.dropped


def configure_logs(level_name: str) -> None:
    """Write log lines of `level_name` and above to standard error as JSON."""
    structlog.configure(
        processors=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _hide_secrets,
            _prefix_part,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            _parse_level(level_name),
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def configure_bounded_logs(level_name: str) -> DropCounters:
    """Write JSON lines to standard output at a bounded rate, never blocking.

    Returns the counters of dropped lines.
    """
    configure_logs(level_name)
    limit = EventRateLimit()
    writer = NonBlockingWriter(sys.stdout.fileno())
    processors = structlog.get_config()['processors']
    structlog.configure(
        processors=[limit, *processors],
        logger_factory=structlog.WriteLoggerFactory(writer),  # type: ignore[arg-type]
    )
    return DropCounters(limit, writer)


def set_log_level(level_name: str) -> None:
    """Set the level of every logger in this process."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(
            _parse_level(level_name),
        ),
    )


def logger_for(part: str) -> Any:
    """Return the logger of one component; its events start with `[part]`."""
    return structlog.get_logger(part=part)


def _parse_level(level_name: str) -> int:
    return logging.getLevelNamesMapping()[level_name.upper()]


def _hide_secrets(_logger: Any, _method: str, event: Any) -> Any:
    for name in _SECRET_KEYS.intersection(event):
        event[name] = 'hidden'
    return event


def _prefix_part(_logger: Any, _method: str, event: Any) -> Any:
    part = event.pop('part', 'carobmoor')
    event['event'] = _EVENT_FORMAT.format(part=part, event=event['event'])
    return event
