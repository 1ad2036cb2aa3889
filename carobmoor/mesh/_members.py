"""This node's row in the store, by which nodes that start find it."""

import asyncio
import time
from typing import Final

from result import Err, Ok

from carobmoor.mesh._datagrams import (
    NodeRecord,
    decode_record,
    encode_record,
)
from carobmoor.mesh._messages import Announcement, Standing
from carobmoor.mesh._news import NewsDesk
from carobmoor.mesh._state import MeshNode
from carobmoor.store import Store, StoreFailure, StoreFault
from carobmoor.telemetry import logger_for

_TABLE: Final = 'nodes'
_RETRY_S: Final = 0.5
_TICK_S: Final = 0.1
# How long the first row waits for the backend server's first announcement.
_FIRST_BEAT_S: Final = 2
_log = logger_for('members')


class Membership:
    """Keeps the own row true, and reads the rows of others at the start.

    The row lets nodes that start find this one, and lets its next start know
    the backend server, and whether that has said that it leaves.
    """

    def __init__(self, node: MeshNode, store: Store, desk: NewsDesk) -> None:
        """Tell the desk of whoever is found."""
        self._node = node
        self._store = store
        self._desk = desk
        self._written: NodeRecord | None = None
        self._etag = ''
        self._writing = asyncio.Lock()

    async def run(self) -> None:
        """Read the rows, then write the own whenever it changes."""
        await self._read_first()
        started_s = time.monotonic()
        while True:
            waits = time.monotonic() < started_s + _FIRST_BEAT_S
            is_known = bool(self._node.backend.instance_id)
            if is_known or not waits:
                await self.keep()
            await asyncio.sleep(_TICK_S)

    async def _read_first(self) -> None:
        while True:
            if await self._read():
                break
            await asyncio.sleep(_RETRY_S)
        self._node.store_sight.has_read_members = True

    async def keep(self) -> None:
        """Write the row unless it is true already."""
        async with self._writing:
            if self._is_stale():
                await self._write()

    async def withdraw(self) -> None:
        """Delete the row of a node whose backend server is gone."""
        if not self._etag:
            return
        deleted = await self._store.delete_row(_TABLE, self._key, self._etag)
        if isinstance(deleted, Err):
            _log.warning('Row not deleted.', detail=deleted.err_value.detail)

    @property
    def _key(self) -> str:
        return str(self._node.settings.node_address)

    def _is_stale(self) -> bool:
        written = self._written
        return written is None or _told(written) != _told(
            self._node.kept_record(),
        )

    async def _write(self) -> None:
        record = self._node.kept_record()
        is_first = self._written is None
        content = encode_record(record)
        put = await self._store.put_row(_TABLE, self._key, content, self._etag)
        if isinstance(put, Err):
            await self._settle(put.err_value)
            return
        self._etag = put.ok_value.etag
        self._written = record
        _log.info('Row written.', node=self._key, service=record.service)
        if is_first:
            # Others that started at the same time have written by now.
            await self._read()

    async def _settle(self, failure: StoreFailure) -> None:
        """Learn which row is there after a write that failed."""
        _log.info('Row not written.', step=failure.step, detail=failure.detail)
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
            _log.info('Rows not read.', step=failure.step)
            return False
        for row in read.ok_value.rows:
            record = decode_record(row.content)
            if record is None:
                _log.warning('Row unreadable.', row=row.key)
            elif row.key == self._key:
                self._recall(record, row.etag)
            else:
                self._meet(record)
        _log.info('Rows read.', rows=len(read.ok_value.rows))
        return True

    def _recall(self, record: NodeRecord, etag: str) -> None:
        """Take in the own row, as an earlier start left it."""
        if self._written is not None:
            return
        self._etag = etag
        self._written = record
        node = self._node
        if not record.instance_id or record.service != node.settings.service:
            return
        standing = Standing.LEAVING if record.is_leaving else Standing.READY
        known = Announcement(
            record.instance_id,
            standing,
            record.born_ms,
            0,
            None,
            record.service,
            record.slots,
        )
        node.backend.recall(known)
        node.renew_admission()
        self._desk.tell_change()

    def _meet(self, record: NodeRecord) -> None:
        known = self._node.peers.at(record.ip)
        if known is not None and known.heard_at_s:
            return
        peer = self._desk.learn(record)
        if peer is not None:
            # Its row may be old: it takes requests once it has answered.
            peer.down_until_s = time.monotonic() + _RETRY_S
            self._desk.greet(peer)


def _told(record: NodeRecord) -> tuple[object, ...]:
    """Give what of a record a start must not be wrong about."""
    return (
        record.address,
        record.service,
        record.instance_id,
        record.born_ms,
        record.is_leaving,
    )
