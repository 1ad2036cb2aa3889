"""Following the accepted configuration on a node."""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err

from carobmoor.configuration._publish import (
    Accepted,
    decode_head,
    load_accepted,
    read_head,
)
from carobmoor.platform import Platform
from carobmoor.telemetry import logger_for

_POLL_INTERVAL_S: Final = 1
_log = logger_for('configuration')


class ConfigurationState:
    """The version in force on this node; it only rises."""

    def __init__(self, on_change: Callable[[Accepted], None]) -> None:
        """Start without a configuration; `on_change` puts one in force."""
        self.accepted: Accepted | None = None
        self._on_change = on_change

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return 0 if self.accepted is None else self.accepted.head.version

    def take(self, accepted: Accepted) -> bool:
        """Put a newer version in force; an older one is ignored."""
        if accepted.head.version <= self.version:
            return False
        self.accepted = accepted
        self._on_change(accepted)
        _log.info('Version in force.', version=accepted.head.version)
        return True


async def follow(platform: Platform, state: ConfigurationState) -> None:
    """Poll the head and put each newer version in force."""
    while True:
        await poll_once(platform, state)
        await asyncio.sleep(_POLL_INTERVAL_S)


async def poll_once(platform: Platform, state: ConfigurationState) -> None:
    """Read the head once; a store that is down changes nothing."""
    read = await read_head(platform)
    if isinstance(read, Err):
        _log.warning('Head not read.', failure=str(read.err_value))
        return
    row = read.ok_value
    if row is None:
        return
    head = decode_head(row.content)
    if head.version <= state.version:
        return
    loaded = await load_accepted(platform, head)
    if isinstance(loaded, Err):
        _log.warning('Body not read.', failure=str(loaded.err_value))
        return
    state.take(loaded.ok_value)
