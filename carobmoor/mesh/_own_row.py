"""This node's row in the store, by which starting nodes find it."""

import asyncio
import time
from typing import Final

from result import Err, Ok

from carobmoor.mesh._datagrams import (
    NodeRecord,
    decode_record,
    encode_record,
)
from carobmoor.mesh._gossip import GossipProtocol
from carobmoor.mesh._messages import Announcement, ServerStatus
from carobmoor.mesh._state import MeshNode
from carobmoor.routing import OTHER_REGION
from carobmoor.store import Store, StoreFailure, StoreFault
from carobmoor.telemetry import logger_for

_TABLE: Final = 'nodes'
_RETRY_S: Final = 0.5
_TICK_S: Final = 0.1
# How long the first write waits for the backend server's announcement.
_FIRST_HEARTBEAT_S: Final = 2
_log = logger_for('members')


class OwnRow:
    """Keeps the own row up to date, and reads other nodes' rows at the start.

    The row lets starting nodes find this one. It also gives the next start of
    this node the backend server and whether that announced that it leaves.
    """

    def __init__(
        self, node: MeshNode, store: Store, gossip: GossipProtocol
    ) -> None:
        """Pass the nodes found in the store to `gossip`."""
        self._node = node
        self._store = store
        self._gossip = gossip
        self._written: NodeRecord | None = None
        self._etag = ''
        self._writing = asyncio.Lock()

    async def run(self) -> None:
        """Read all rows, then write the own row whenever it changes.

        At the first start of the deployment there is nothing to read yet, and
        a node reads only after its write. Runs until cancelled.
        """
        if self._node.settings.is_first_start:
            await self._wait_for_heartbeat()
            await self.save()
        if not self._node.store_availability.has_read_members:
            await self._read_first()
        await self._wait_for_heartbeat()
        while True:
            await self.save()
            await asyncio.sleep(_TICK_S)

    async def _wait_for_heartbeat(self) -> None:
        """Wait for a limited time until the backend server is known."""
        until_s = time.monotonic() + _FIRST_HEARTBEAT_S
        while True:
            if self._node.backend.instance_id or time.monotonic() > until_s:
                return
            await asyncio.sleep(_TICK_S)

    async def _read_first(self) -> None:
        while True:
            if await self._read():
                break
            await asyncio.sleep(_RETRY_S)

    async def save(self) -> None:
        """Write the own row unless the stored one is up to date."""
        async with self._writing:
            if self._is_stale():
                await self._write()

    async def remove(self) -> None:
        """Delete the own row, for a node whose backend server is gone."""
        if not self._etag:
            return
        deleted = await self._store.delete_row(_TABLE, self._key, self._etag)
        if isinstance(deleted, Err):
            _log.warning(
                'Deleting the own row failed.',
                detail=deleted.err_value.detail,
            )

    @property
    def _key(self) -> str:
        return str(self._node.settings.node_address)

    def _is_stale(self) -> bool:
        written = self._written
        return written is None or _restart_fields(written) != _restart_fields(
            self._node.stored_record(),
        )

    async def _write(self) -> None:
        record = self._node.stored_record()
        is_first = self._written is None
        content = encode_record(record)
        put = await self._store.put_row(_TABLE, self._key, content, self._etag)
        if isinstance(put, Err):
            await self._reread_etag(put.err_value)
            return
        self._etag = put.ok_value.etag
        self._written = record
        _log.info('Own row written.', node=self._key, service=record.service)
        if is_first:
            # Nodes that started at the same time have written theirs by now.
            await self._read()

    async def _reread_etag(self, failure: StoreFailure) -> None:
        """Read the etag of the stored row after a failed write."""
        _log.info(
            'Writing the own row failed; it is retried.',
            step=failure.step,
            detail=failure.detail,
        )
        if failure.fault is not StoreFault.PRECONDITION:
            await asyncio.sleep(_RETRY_S)
        read = await self._store.get_row(_TABLE, self._key)
        if isinstance(read, Ok):
            row = read.ok_value
            self._etag = '' if row is None else row.etag

    async def _read(self) -> bool:
        read = await self._store.read_rows(_TABLE)
        if isinstance(read, Err):
            failure = read.err_value
            _log.info('Reading the rows of nodes failed.', step=failure.step)
            return False
        for row in read.ok_value.rows:
            record = decode_record(row.content)
            if record is None:
                _log.warning('Row of a node malformed, skipped.', row=row.key)
            elif row.key == self._key:
                self._restore_own(record, row.etag)
            else:
                self._add_peer(record)
        _log.info('Rows of nodes read.', rows=len(read.ok_value.rows))
        self._node.store_availability.has_read_members = True
        return True

    def _restore_own(self, record: NodeRecord, etag: str) -> None:
        """Restore what an earlier start knew of the backend server."""
        if self._written is not None:
            return
        self._etag = etag
        self._written = record
        node = self._node
        is_usable = record.instance_id and record.slots
        if not is_usable or record.service != node.settings.service:
            return
        status = (
            ServerStatus.LEAVING if record.is_leaving else ServerStatus.READY
        )
        known = Announcement(
            record.instance_id,
            status,
            record.born_ms,
            0,
            None,
            record.service,
            record.slots,
        )
        node.backend.restore(known)
        node.update_admission()
        self._gossip.notify_change()

    def _add_peer(self, record: NodeRecord) -> None:
        known = self._node.peers.find_by_ip(record.ip)
        if known is not None and known.last_update_s:
            return
        peer = self._gossip.add_or_update(record)
        if peer is not None:
            # Its row may be outdated: it gets requests once it has answered.
            now_s = time.monotonic()
            peer.avoided_until_s = now_s + _RETRY_S
            if peer.distance != OTHER_REGION:
                self._gossip.send_hello(peer, now_s)


def _restart_fields(record: NodeRecord) -> tuple[object, ...]:
    """Return the fields whose change makes the stored row outdated.

    A node that starts relies on them; gossip or the next heartbeat corrects
    the others.
    """
    return (
        record.address,
        record.service,
        record.instance_id,
        record.born_ms,
        record.is_leaving,
    )
