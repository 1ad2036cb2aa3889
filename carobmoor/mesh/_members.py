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
from carobmoor.mesh._follow import Store
from carobmoor.mesh._news import NewsDesk
from carobmoor.mesh._state import MeshNode
from carobmoor.store import StoreFault
from carobmoor.telemetry import logger_for

_TABLE: Final = 'nodes'
_RETRY_S: Final = 0.5
# After the first reading, for nodes that wrote theirs at the same time.
_TICK_S: Final = 0.1
_log = logger_for('members')


class Membership:
    """Keeps the own row true, and reads the rows of others at the start."""

    def __init__(self, node: MeshNode, store: Store, desk: NewsDesk) -> None:
        """Tell the desk of whoever is found."""
        self._node = node
        self._store = store
        self._desk = desk
        self._written: NodeRecord | None = None
        self._etag = ''

    async def run(self) -> None:
        """Write the row whenever it has changed, until cancelled."""
        while True:
            if self._is_stale():
                await self._write()
            if not self._node.has_read_members and self._written is not None:
                await self._read()
            await asyncio.sleep(_TICK_S)

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
        """Tell whether the row would mislead a node that starts.

        Only the address and the service matter to it; the rest is told by
        the node itself.
        """
        record = self._node.record()
        written = self._written
        if written is None:
            return True
        return (written.address, written.service) != (
            record.address,
            record.service,
        )

    async def _write(self) -> None:
        record = self._node.record()
        content = encode_record(record)
        put = await self._store.put_row(_TABLE, self._key, content, self._etag)
        if isinstance(put, Ok):
            self._etag = put.ok_value.etag
            self._written = record
            _log.info('Row written.', key=self._key, service=record.service)
            return
        if put.err_value.fault is not StoreFault.PRECONDITION:
            await asyncio.sleep(_RETRY_S)
        # The row of an earlier start, or of a write without an answer.
        await self._read()

    async def _read(self) -> None:
        read = await self._store.read_rows(_TABLE)
        if isinstance(read, Err):
            _log.info('Rows not read.', detail=read.err_value.detail)
            await asyncio.sleep(_RETRY_S)
            return
        for row in read.ok_value.rows:
            record = decode_record(row.content)
            if row.key == self._key:
                self._etag = row.etag
                self._written = record
            if record is None:
                _log.warning('Row unreadable.', key=row.key)
                continue
            self._meet(record)
        self._node.has_read_members = True
        _log.info('Rows read.', rows=len(read.ok_value.rows))

    def _meet(self, record: NodeRecord) -> None:
        known = self._node.peers.at(record.ip)
        if known is not None and known.heard_at_s:
            return
        peer = self._desk.learn(record)
        if peer is not None:
            # Its row may be old: it takes requests once it has answered.
            peer.down_until_s = time.monotonic() + _RETRY_S
            self._desk.greet(peer)
