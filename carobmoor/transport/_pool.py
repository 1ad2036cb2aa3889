"""Pool of idle connections per peer."""

import asyncio
import ssl
from collections import defaultdict, deque
from typing import Final

from result import Err, Ok, Result

from carobmoor.transport._connection import Connection
from carobmoor.transport._memory_account import MemoryAccount
from carobmoor.transport._messages import Address, OutgoingRequest
from carobmoor.transport._steps import CallFailure, Step

_IDLE_LIFETIME_S: Final = 20
# A connection expires this long before its peer closes it, if that is known.
_IDLE_MARGIN_S: Final = 0.2
_MAX_IDLE_PER_PEER: Final = 64
CONNECT_TIMEOUT_S: Final = 2


class ConnectionPool:
    """A pool of client connections that are reused after complete answers.

    Connections are reused last in, first out, so that those left over from a
    burst expire. They expire before peers close them, as their answers name
    it, so that a request rarely meets a connection that is just being closed.
    """

    def __init__(
        self,
        tls: ssl.SSLContext | None = None,
        account: MemoryAccount | None = None,
        is_limited: bool = False,
    ) -> None:
        """Create an empty pool; with `tls` every connection is encrypted.

        What its connections have received counts in `account`. With
        `is_limited` none is opened beyond the limit of the account.
        """
        self.account = MemoryAccount() if account is None else account
        self._is_limited = is_limited
        self._tls = tls
        # Abandoned connections that their peers have not closed yet.
        self._lingering: set[Connection] = set()
        self._idle: defaultdict[Address, deque[Connection]] = defaultdict(deque)

    async def acquire(
        self,
        address: Address,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Result[Connection, CallFailure]:
        """Return an idle connection to the address or open a new one."""
        connection = self._pop_idle(address)
        if connection is None:
            return await self._open(address, timeout_s)
        connection.start_request()
        return Ok(connection)

    def release(self, address: Address, connection: Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        idle = self._idle[address]
        if not connection.is_reusable or len(idle) >= _MAX_IDLE_PER_PEER:
            connection.close('connection not reusable or pool full')
            return
        idle_s = min(_IDLE_LIFETIME_S, connection.named_idle_s - _IDLE_MARGIN_S)
        connection.expires_at_s = _now_s() + idle_s
        idle.append(connection)

    def abandon(self, connection: Connection, reason: str) -> None:
        """Stop the request on a connection, which is not reused."""
        connection.abandon(reason)
        if connection.is_lingering:
            self._lingering.add(connection)
            self._lingering = {
                abandoned
                for abandoned in self._lingering
                if abandoned.is_lingering
            }

    def find_lingering(self, request: OutgoingRequest) -> Connection | None:
        """Return the connection whose peer may still work on a request.

        Returns `None` if there is none.
        """
        for connection in self._lingering:
            if connection.request is request and connection.is_lingering:
                return connection
        return None

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a peer that is leaving or gone."""
        for connection in self._idle.pop(address, ()):
            connection.close('idle connections to the peer closed')

    def close(self) -> None:
        """Close all idle and abandoned connections."""
        for address in tuple(self._idle):
            self.close_idle(address)
        for connection in self._lingering:
            connection.close('pool closed')

    def _pop_idle(self, address: Address) -> Connection | None:
        idle = self._idle.get(address)
        now_s = _now_s()
        while idle:
            connection = idle.pop()
            if connection.expires_at_s > now_s and connection.is_silent:
                return connection
            connection.close('idle connection expired, got data or was closed')
        return None

    async def _open(
        self,
        address: Address,
        timeout_s: float,
    ) -> Result[Connection, CallFailure]:
        loop = asyncio.get_running_loop()
        peer = str(address)
        most = self.account.limits.max_calls
        if self._is_limited and most and self.account.open_calls >= most:
            reason = f'{self.account.open_calls} connections open'
            return Err(CallFailure(Step.CONNECT, peer, reason))
        # Counted from here on, since many may be opened at once; the
        # connection counts its end.
        self.account.open_calls += 1
        connection: Connection | None = None
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    lambda: Connection(peer, self.account),
                    address.ip,
                    address.port,
                    ssl=self._tls,
                )
        except (OSError, ValueError, OverflowError) as error:
            # Not all addresses that other processes name can be connected to.
            reason = str(error) or type(error).__name__
            return Err(CallFailure(Step.CONNECT, peer, reason))
        finally:
            if connection is None:
                self.account.open_calls -= 1
        connection.start_request()
        return Ok(connection)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
