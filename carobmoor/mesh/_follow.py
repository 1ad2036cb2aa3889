"""Following the operator's routes, from the store and from other nodes."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from result import Err, Result

from carobmoor.mesh._peers import Peer
from carobmoor.mesh._serve_hop import ROUTES_TARGET
from carobmoor.mesh._state import MeshNode
from carobmoor.routes import RouteTable
from carobmoor.store import RowChanges, Store, StoreFailure, StoreFault
from carobmoor.telemetry import logger_for
from carobmoor.transport import OutgoingRequest, request_json

# One wait for changes; the connection's keep-alive shows a silent store.
_WATCH_S: Final = 25
_RETRY_S: Final = 0.3
_PEER_TIMEOUT_S: Final = 1.0
# How long the store goes first before another node is asked.
_STORE_FIRST_S: Final = 0.3
_log = logger_for('follow')

Decode = Callable[[bytes], Result[RouteTable, str]]


class RouteSource:
    """Where the operator's document lies, and how it is decoded."""

    def __init__(self, table: str, key: str, decode: Decode) -> None:
        """Name the row."""
        self.table = table
        self.key = key
        self.decode = decode


class Follower:
    """Keeps the newest version of the routes in force; it never goes back."""

    def __init__(
        self,
        node: MeshNode,
        store: Store,
        source: RouteSource,
    ) -> None:
        """Follow one row of the store."""
        self._node = node
        self._store = store
        self._source = source
        self._fetching: asyncio.Task[None] | None = None
        self._is_connected = True

    async def run(self) -> None:
        """Follow the store until cancelled."""
        version: int | None = None
        while True:
            got = await self._next(version)
            self._note_store(got)
            if isinstance(got, Err):
                version = None
                if got.err_value.fault is not StoreFault.HISTORY_LOST:
                    await asyncio.sleep(_RETRY_S)
                continue
            version = got.ok_value.version
            for row in got.ok_value.rows:
                if row.key == self._source.key:
                    self.take(row.content, 'store')

    async def _next(
        self,
        version: int | None,
    ) -> Result[RowChanges, StoreFailure]:
        """Read the row, or wait for a change since a version."""
        source = self._source
        if version is None:
            return await self._store.read_rows(source.table, source.key)
        return await self._store.watch_rows(source.table, version, _WATCH_S)

    def take(self, content: bytes, source: str) -> None:
        """Put a document in force if it is newer than what is."""
        decoded = self._source.decode(content)
        if isinstance(decoded, Err):
            _log.warning(
                'Routes unreadable, not applied.',
                source=source,
                fault=decoded.err_value,
            )
            return
        table = decoded.ok_value
        if table.version <= self._node.version:
            return
        before = self._node.version
        self._node.apply_table(table, content)
        _log.info(
            'Routes in force.',
            source=source,
            version=table.version,
            before=before,
        )

    def hear_version(self, version: int, peer: Peer) -> None:
        """Ask another node for the routes, unless the store is faster."""
        if self._fetching is None:
            self._fetching = asyncio.create_task(self._fetch(version, peer))

    async def _fetch(self, version: int, peer: Peer) -> None:
        try:
            await self._ask(version, peer)
        finally:
            self._fetching = None

    async def _ask(self, version: int, peer: Peer) -> None:
        await asyncio.sleep(_STORE_FIRST_S)
        if self._node.version >= version:
            return
        got = await request_json(
            self._node.node_pool,
            peer.address,
            OutgoingRequest('GET', ROUTES_TARGET.decode(), ()),
            _PEER_TIMEOUT_S,
        )
        if isinstance(got, Err):
            _log.info(
                'Routes not had from a node.',
                peer=str(peer.address),
                step=got.err_value.step.value,
                reason=got.err_value.reason,
            )
            return
        self.take(got.ok_value.body, str(peer.address))

    def _note_store(self, got: Result[RowChanges, StoreFailure]) -> None:
        is_connected = not isinstance(got, Err) or (
            got.err_value.fault is StoreFault.HISTORY_LOST
        )
        if is_connected == self._is_connected:
            return
        self._is_connected = is_connected
        if isinstance(got, Err):
            failure = got.err_value
            _log.warning(
                'Store lost.',
                step=failure.step,
                peer=failure.peer,
                detail=failure.detail,
            )
        else:
            _log.info('Store regained.', at_s=round(time.monotonic(), 3))
