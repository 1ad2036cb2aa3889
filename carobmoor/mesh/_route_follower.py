"""Keeps the operator's routes current, from the store and other nodes."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Final

from result import Err, Result

from carobmoor.clock import boot_time_s
from carobmoor.evacuation import EvacuatedZones, zones_after
from carobmoor.mesh._compression import unpack_routes
from carobmoor.mesh._evacuate import apply_evacuation
from carobmoor.mesh._peer_requests import ROUTES_TARGET
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._state import MeshNode, record_read
from carobmoor.mesh._watchers import is_watcher
from carobmoor.routes import RouteTable
from carobmoor.store import (
    Row,
    RowChanges,
    Store,
    StoreFailure,
    StoreFault,
)
from carobmoor.telemetry import logger_for
from carobmoor.transport import OutgoingRequest, request_json

# One wait for changes; the connection's keep-alive detects a silent store.
_WATCH_S: Final = 25
_RETRY_S: Final = 0.3
# A version must be in force two seconds after it was written, even if the
# first node that is asked does not answer.
_PEER_TIMEOUT_S: Final = 0.5
# How long a watcher waits for the store before it asks another node.
_STORE_HEAD_START_S: Final = 0.3
# How long after its start a node waits for updates of its region, before it
# decides whether it is a watcher.
_SETTLE_S: Final = 0.5
# How often a node that is not a watcher checks whether it should be one.
_CHECK_INTERVAL_S: Final = 0.1
# No row has a key with this end.
_ABSENT_SUFFIX: Final = '\0none'
_log = logger_for('follow')

Decode = Callable[[bytes], Result[RouteTable, str]]


class RouteSource:
    """Where the operator's rows are stored, and how routes are decoded."""

    def __init__(
        self,
        table: str,
        key: str,
        decode: Decode,
        evacuation_prefix: str = '',
    ) -> None:
        """Set the table, the row of the routes, and their decoder.

        The rows of evacuated zones begin with the prefix, if there is one.
        """
        self.table = table
        self.key = key
        self.decode = decode
        self.evacuation_prefix = evacuation_prefix


class RouteFollower:
    """Keeps the newest version of the routes in force; it never goes back."""

    def __init__(
        self,
        node: MeshNode,
        store: Store,
        source: RouteSource,
    ) -> None:
        """Follow the row of `source` in the store."""
        self._node = node
        self._store = store
        self._source = source
        self._fetching: asyncio.Task[None] | None = None
        self._is_watching = True

    async def run(self) -> None:
        """Read the routes, then watch them while this node is a watcher.

        Runs until cancelled.
        """
        version: int | None = None
        # Evacuated zones as of the version.
        zones: frozenset[str] = frozenset()
        settled_s = time.monotonic() + _SETTLE_S
        while True:
            if version is not None and await self._wait_until_watcher(
                settled_s
            ):
                version = None
            began_s = boot_time_s()
            got = await self._read_or_watch(version)
            is_whole = version is None
            self._update_store_availability(got)
            if isinstance(got, Err):
                version = None
                if got.err_value.fault is not StoreFault.HISTORY_LOST:
                    await asyncio.sleep(_RETRY_S)
                continue
            version = got.ok_value.version
            if is_whole:
                zones = self._apply_whole(got.ok_value, began_s)
            else:
                self.apply_rows(got.ok_value.rows)
                zones = self._apply_zones(zones, got.ok_value)

    async def _wait_until_watcher(self, settled_s: float) -> bool:
        """Wait until this node is a watcher; return whether it had to wait.

        Changes in the meantime come from other nodes.
        """
        await asyncio.sleep(max(0, settled_s - time.monotonic()))
        has_waited = False
        while not is_watcher(self._node, time.monotonic()):
            self._set_watching(watches=False)
            has_waited = True
            await asyncio.sleep(_CHECK_INTERVAL_S)
        self._set_watching(watches=True)
        return has_waited

    def _set_watching(self, watches: bool) -> None:
        if watches != self._is_watching:
            self._is_watching = watches
            _log.info('Watch of the store started or stopped.', watches=watches)

    async def read_store_version(self) -> Result[int, StoreFailure]:
        """Return the version of the whole store, at the price of few bytes."""
        source = self._source
        absent = f'{source.key}{_ABSENT_SUFFIX}'
        read = await self._store.read_rows(source.table, absent)
        return read.map(lambda changes: changes.version)

    async def read_document(self) -> int | None:
        """Read and apply the document, which proves its version.

        Returns the version of the store, or `None` if that failed or the
        document can't be decoded.
        """
        began_s = boot_time_s()
        got = await self._read_or_watch(None)
        if isinstance(got, Err) or not self.apply_rows(got.ok_value.rows):
            return None
        record_read(self._node, began_s)
        return got.ok_value.version

    async def _read_or_watch(
        self,
        version: int | None,
    ) -> Result[RowChanges, StoreFailure]:
        """Read all rows, or wait for a change after a version if given."""
        table = self._source.table
        if version is None:
            return await self._store.read_rows(table)
        return await self._store.watch_rows(table, version, _WATCH_S)

    def apply_document(self, content: bytes, source: str) -> bool:
        """Put a document in force if its version is newer than the current one.

        One that cannot be decoded is logged and ignored. Returns whether it
        could be.
        """
        decoded = self._source.decode(content)
        if isinstance(decoded, Err):
            _log.warning(
                'Routes unreadable, not applied.',
                source=source,
                fault=decoded.err_value,
            )
            return False
        table = decoded.ok_value
        if table.version <= self._node.version:
            return True
        before = self._node.version
        self._node.apply_table(table, content)
        _log.info(
            'Routes in force.',
            source=source,
            version=table.version,
            before=before,
        )
        return True

    def fetch_version(self, version: int, peer: Peer) -> None:
        """Fetch the routes from a node, unless the store sends them first."""
        if self._fetching is None:
            self._fetching = asyncio.create_task(self._fetch(version, peer))

    async def _fetch(self, version: int, peer: Peer) -> None:
        try:
            await self._fetch_from_peer(version, peer)
        finally:
            self._fetching = None

    async def _fetch_from_peer(self, version: int, peer: Peer) -> None:
        if self._is_watching and self._node.store_availability.has_store:
            await asyncio.sleep(_STORE_HEAD_START_S)
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
                'Fetching routes from a node failed; reading the store.',
                peer=str(peer.address),
                step=got.err_value.step.value,
                reason=got.err_value.reason,
            )
            await self._read_store()
            return
        unpacked = unpack_routes(got.ok_value.body)
        if isinstance(unpacked, Err):
            _log.warning(
                'Routes from a node malformed; reading the store.',
                peer=str(peer.address),
                fault=unpacked.err_value,
            )
            await self._read_store()
            return
        self.apply_document(unpacked.ok_value, str(peer.address))

    async def _read_store(self) -> None:
        """Read the routes from the store after a node failed to send them."""
        got = await self._read_or_watch(None)
        if isinstance(got, Err):
            _log.info(
                'Reading routes from the store failed.', step=got.err_value.step
            )
            return
        self._apply_zones(frozenset(), got.ok_value)
        self.apply_rows(got.ok_value.rows)

    def apply_rows(self, rows: Sequence[Row]) -> bool:
        """Apply the documents among rows; return whether all were readable."""
        unreadable = 0
        for row in rows:
            if row.key == self._source.key:
                unreadable += not self.apply_document(row.content, 'store')
        return not unreadable

    def _apply_whole(
        self, changes: RowChanges, began_s: float
    ) -> frozenset[str]:
        """Apply all rows, which prove what was in force when the read began.

        Returns the evacuated zones.
        """
        if self.apply_rows(changes.rows):
            record_read(self._node, began_s)
        return self._apply_zones(frozenset(), changes)

    def _apply_zones(
        self, before: frozenset[str], changes: RowChanges
    ) -> frozenset[str]:
        """Apply and return the evacuated zones after changes of the rows."""
        prefix = self._source.evacuation_prefix
        if not prefix:
            return before
        zones = zones_after(before, changes, prefix)
        known = zones.intersection(self._node.settings.regions)
        apply_evacuation(
            self._node, EvacuatedZones(changes.version, known), 'store'
        )
        return zones

    def _update_store_availability(
        self, got: Result[RowChanges, StoreFailure]
    ) -> None:
        is_connected = not isinstance(got, Err) or (
            got.err_value.fault is StoreFault.HISTORY_LOST
        )
        if is_connected == self._node.store_availability.has_store:
            return
        self._node.store_availability.has_store = is_connected
        if isinstance(got, Err):
            failure = got.err_value
            _log.warning(
                'Store unavailable; reading the routes is retried.',
                step=failure.step,
                peer=failure.peer,
                detail=failure.detail,
            )
        else:
            _log.info('Store available again.', at_s=round(time.monotonic(), 3))
