"""Keeps the connections of a listener within the limits of the process."""

import asyncio
import random
import socket
from collections.abc import Callable, Iterable
from typing import Final, Protocol

from carobmoor.telemetry import logger_for
from carobmoor.transport._memory_account import MemoryAccount
from carobmoor.transport._messages import Address
from carobmoor.transport._shedding import (
    ConnectionLoad,
    choose_victim,
    is_overdue,
)

# Connections that wait to be accepted, and how many are accepted at once.
BACKLOG: Final = 1024
ACCEPTED_AT_ONCE: Final = 16
# Interval of the checks for connections without progress.
_CHECK_INTERVAL_S: Final = 0.5
# Connections among which the one to close is chosen, so that an accept costs
# the same however many are open.
_SAMPLE: Final = 64
_log = logger_for('transport')


class GuardedConnection(Protocol):
    """A connection that the guard may refuse or close."""

    peer: str

    @property
    def is_closing(self) -> bool:
        """Whether it was closed or reset."""

    def load(self) -> ConnectionLoad:
        """Return its state."""

    def resume_reading(self) -> None:
        """Resume reading if no limit requires the pause."""

    def give_up(self) -> None:
        """Refuse what is being read, or close the connection."""

    def abort(self) -> None:
        """Reset the connection."""


class ConnectionGuard:
    """Refuses or closes connections of a listener so that others find room."""

    def __init__(
        self,
        account: MemoryAccount,
        connections: Callable[[], Iterable[GuardedConnection]],
        is_control: bool = False,
    ) -> None:
        """Start without checks; `connections` returns the open ones.

        A listener for the control of the node has a limit of its own.
        """
        self.account = account
        # Connections refused or closed so far.
        self.shed = 0
        self._connections = connections
        self._is_control = is_control
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check for connections without progress from now on."""
        self._check_progress()

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def make_room(self) -> None:
        """Close a connection if there are more than the limit allows."""
        limits = self.account.limits
        most = limits.max_connections
        if self._is_control:
            most = limits.max_control_connections
        connections = [one for one in self._connections() if not one.is_closing]
        if not most or len(connections) <= most:
            return
        if len(connections) > _SAMPLE:
            connections = random.sample(connections, _SAMPLE)
        victim = choose_victim([one.load() for one in connections])
        if victim is not None:
            self._record_shed(connections[victim], 'too many connections')
            connections[victim].abort()

    def _check_progress(self) -> None:
        for connection in tuple(self._connections()):
            if connection.is_closing:
                continue
            connection.resume_reading()
            if is_overdue(connection.load(), self.account.is_pressed):
                self._record_shed(connection, 'no progress')
                connection.give_up()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check_progress)

    def _record_shed(self, connection: GuardedConnection, why: str) -> None:
        self.shed += 1
        _log.info(
            'Connection shed.',
            peer=connection.peer,
            reason=why,
            held_bytes=self.account.held_bytes,
        )


def bind_socket(address: Address) -> socket.socket:
    """Return a socket that is bound to an address and doesn't listen yet.

    A server takes as many connections at once as its backlog, so it is
    created with `ACCEPTED_AT_ONCE`; `listen(BACKLOG)` on the socket then lets
    more of them wait in the kernel.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    try:
        bound.bind((address.ip, address.port))
    except OSError:
        bound.close()
        raise
    return bound
