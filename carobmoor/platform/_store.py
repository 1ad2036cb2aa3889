"""Client of the platform's store: versioned rows, a change feed, objects."""

import base64
import random
import time
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from carobmoor.decoding import Count, decoder_of, repair_json
from carobmoor.store import (
    Breaker,
    Row,
    RowChanges,
    StoreFailure,
    StoreFault,
)
from carobmoor.telemetry import logger_for
from carobmoor.transport import (
    Address,
    CallFailure,
    ConnectionPool,
    JsonAnswer,
    OutgoingRequest,
    request_json,
)

_CALL_TIMEOUT_S: Final = 3
# Time allowed for a change-feed call beyond the wait that it asks for.
_FEED_TIMEOUT_MARGIN_S: Final = 2
_MS_PER_S: Final = 1000
# Longest wait of an open breaker. Entries that expired during an outage of the
# store must be written again within two seconds of its return.
_MAX_BREAKER_WAIT_S: Final = 1.0
_FAULT_BY_STATUS: Final = MappingProxyType(
    {
        404: StoreFault.MISSING,
        410: StoreFault.HISTORY_LOST,
        412: StoreFault.PRECONDITION,
    },
)
_MIN_ERROR_STATUS: Final = 400
_MIN_SERVER_ERROR_STATUS: Final = 500
_TOO_MANY_REQUESTS: Final = 429
_JSON_HEADERS: Final = ((b'content-type', b'application/json'),)
# The platform returns no more rows at once.
_MAX_PAGE_ROWS: Final = 500
# Appended to a prefix, it sorts after every key with that prefix.
_MAX_CHARACTER: Final = '\U0010ffff'


class _WireRow(msgspec.Struct, rename='camel'):
    key: str
    row_version: Count = 0
    # Base64.
    content: str = msgspec.field(name='value', default='')
    deleted: bool = False


class _WireRowPage(msgspec.Struct, rename='camel'):
    # Decoded one by one, so that an odd row doesn't hide the others.
    rows: Sequence[msgspec.Raw]
    # Newest version in the whole store.
    row_version: Count
    has_more: bool = False


class _WireWriteResult(msgspec.Struct, rename='camel'):
    row_version: Count


_row_decode: Final = decoder_of(_WireRow)
_page_decode: Final = decoder_of(_WireRowPage)
_result_decode: Final = decoder_of(_WireWriteResult)
_log = logger_for('store')


class StoreClient:
    """Client of the platform's store.

    A row's `etag` is its version as text. Failed calls return a
    `StoreFailure`. A write that failed as `UNAVAILABLE` may have taken effect
    or may still do so.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        object_address: Address | None = None,
    ) -> None:
        """Create a client that makes every call through `pool`.

        Objects are read and written at `object_address`, or at `address` if
        there is none.
        """
        self._pool = pool
        self._address = address
        self._object_address = object_address or address
        rng = random.Random()
        self._breakers = {
            endpoint: Breaker(rng, _MAX_BREAKER_WAIT_S)
            for endpoint in (address, self._object_address)
        }
        self.calls = 0

    @property
    def is_down(self) -> bool:
        """Whether the breaker of either store address is open."""
        return any(breaker.is_open for breaker in self._breakers.values())

    async def get_row(
        self,
        table: str,
        key: str,
    ) -> Result[Row | None, StoreFailure]:
        """Return a row, or `None` if it does not exist."""
        fetched = await self._read_page(table, key, f'{key}\0')
        return fetched.map(lambda changes: next(iter(changes.rows), None))

    async def list_rows(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[Sequence[Row], StoreFailure]:
        """Return the rows whose key starts with `prefix`, sorted by key."""
        fetched = await self.read_rows(table, prefix)
        return fetched.map(lambda changes: changes.rows)

    async def read_rows(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[RowChanges, StoreFailure]:
        """Return the rows whose key starts with `prefix`, and a version.

        The version is that of the whole store, as of the last page read.
        """
        end = f'{prefix}{_MAX_CHARACTER}' if prefix else ''
        rows: list[Row] = []
        start = prefix
        while True:
            fetched = await self._read_page(table, start, end)
            if isinstance(fetched, Err):
                return fetched
            page = fetched.ok_value
            rows.extend(page.rows)
            if not page.has_more:
                return Ok(page._replace(rows=rows))
            if not page.rows:
                return Err(self._make_failure('decode', 'page without a row'))
            start = f'{page.rows[-1].key}\0'

    async def watch_rows(
        self,
        table: str,
        after_version: int,
        wait_s: float,
    ) -> Result[RowChanges, StoreFailure]:
        """Return the changes of a table, waiting up to `wait_s` for one.

        `HISTORY_LOST` means that the store no longer has the changes after
        `after_version`; the caller must read the whole table again.
        """
        wait_ms = int(wait_s * _MS_PER_S)
        query = {'table': table, 'after': after_version, 'waitMs': wait_ms}
        request = _get_request('rows-feed', query)
        response = await self._call(request, wait_s + _FEED_TIMEOUT_MARGIN_S)
        return self._decode(response, _decode_page).map(_to_changes)

    async def put_row(
        self,
        table: str,
        key: str,
        content: bytes,
        etag: str,
    ) -> Result[Row, StoreFailure]:
        """Write a row if its version is still `etag`.

        An empty `etag` inserts the row if it does not exist yet.
        """
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(content).decode('ascii'),
        }
        condition = [_row_condition(table, key, etag)]
        written = await self._write_rows(condition, [row], [])
        return written.map(lambda version: Row(key, content, version))

    async def delete_row(
        self,
        table: str,
        key: str,
        etag: str,
    ) -> Result[None, StoreFailure]:
        """Delete a row if its version is still `etag`."""
        row = {'table': table, 'part': '', 'key': key}
        condition = [_row_condition(table, key, etag)]
        written = await self._write_rows(condition, [], [row])
        return written.map(lambda _: None)

    async def get_object(
        self,
        bucket: str,
        key: str,
    ) -> Result[bytes, StoreFailure]:
        """Return the body of an object."""
        target = f'/v1/blob-get/{_object_id(bucket, key)}'
        request = OutgoingRequest('GET', target, ())
        response = await self._call(request, address=self._object_address)
        return response.map(lambda answer: answer.body)

    async def put_object(
        self,
        bucket: str,
        key: str,
        body: bytes,
    ) -> Result[None, StoreFailure]:
        """Write an object; writing the same body again has no effect."""
        target = f'/v1/blob-put/{_object_id(bucket, key)}'
        request = OutgoingRequest('PUT', target, (), body)
        response = await self._call(request, address=self._object_address)
        return response.map(lambda _: None)

    async def _read_page(
        self,
        table: str,
        start: str,
        end: str,
    ) -> Result[RowChanges, StoreFailure]:
        query = {'table': table, 'part': '', 'limit': _MAX_PAGE_ROWS}
        if start:
            query['startKey'] = start
        if end:
            query['target'] = end
        response = await self._call(_get_request('rows-get', query))
        return self._decode(response, _decode_page).map(_to_changes)

    async def _write_rows(
        self,
        expected: Sequence[Mapping[str, Any]],
        put: Sequence[Mapping[str, Any]],
        remove: Sequence[Mapping[str, Any]],
    ) -> Result[str, StoreFailure]:
        body = msgspec.json.encode(
            {'expected': expected, 'put': put, 'remove': remove},
        )
        request = OutgoingRequest('POST', '/v1/rows-tx', _JSON_HEADERS, body)
        response = await self._call(request)
        written = self._decode(response, _result_decode)
        return written.map(lambda answer: str(answer.row_version))

    def _decode(
        self,
        response: Result[JsonAnswer, StoreFailure],
        decode: Callable[[bytes], Any],
    ) -> Result[Any, StoreFailure]:
        if isinstance(response, Err):
            return response
        try:
            return Ok(decode(response.ok_value.body))
        except msgspec.DecodeError as error:
            return Err(self._make_failure('decode', str(error)))

    async def _call(
        self,
        request: OutgoingRequest,
        timeout_s: float = _CALL_TIMEOUT_S,
        address: Address | None = None,
    ) -> Result[JsonAnswer, StoreFailure]:
        address = address or self._address
        breaker = self._breakers[address]
        if not breaker.try_acquire(time.monotonic()):
            return Err(
                self._make_failure(
                    'breaker', 'circuit breaker is open, call not sent'
                )
            )
        self.calls += 1
        response = await request_json(
            self._pool,
            address,
            request,
            timeout_s,
        )
        if isinstance(response, Err):
            breaker.record_outcome(False, time.monotonic())
            return Err(_to_store_failure(response.err_value))
        answer = response.ok_value
        status = answer.head.status
        is_available = (
            status < _MIN_SERVER_ERROR_STATUS and status != _TOO_MANY_REQUESTS
        )
        breaker.record_outcome(is_available, time.monotonic())
        if status < _MIN_ERROR_STATUS:
            return Ok(answer)
        fault = _FAULT_BY_STATUS.get(status, StoreFault.UNAVAILABLE)
        return Err(self._make_failure('answer', f'status {status}', fault))

    def _make_failure(
        self,
        step: str,
        detail: str,
        fault: StoreFault = StoreFault.UNAVAILABLE,
    ) -> StoreFailure:
        return StoreFailure(fault, step, str(self._address), detail)


def _get_request(call: str, query: Mapping[str, Any]) -> OutgoingRequest:
    return OutgoingRequest('GET', f'/v1/{call}?{urlencode(query)}', ())


def _row_condition(table: str, key: str, etag: str) -> Mapping[str, Any]:
    version = int(etag or 0)
    return {'table': table, 'part': '', 'key': key, 'rowVersion': version}


def _object_id(bucket: str, key: str) -> str:
    return quote(f'{bucket}.{key}', safe='')


def _decode_page(body: bytes) -> _WireRowPage:
    """Decode a page, without the values in it that can't be decoded."""
    page: _WireRowPage
    try:
        page = _page_decode(body)
    except msgspec.DecodeError:
        page = _page_decode(repair_json(body))
    return page


def _to_changes(page: _WireRowPage) -> RowChanges:
    """Convert a page; of several changes of a row, the last one counts."""
    decoded = [row for row in map(_decode_row, page.rows) if row is not None]
    rows = {row.key: row for row in decoded}.values()
    kept = [_to_row(row) for row in rows if not row.deleted]
    deleted = [row.key for row in rows if row.deleted]
    return RowChanges(kept, deleted, page.row_version, page.has_more)


def _decode_row(encoded: msgspec.Raw) -> _WireRow | None:
    try:
        row: _WireRow = _row_decode(bytes(encoded))
    except msgspec.DecodeError as error:
        _log.warning('Row unreadable, skipped.', reason=str(error))
        return None
    return row


def _to_row(row: _WireRow) -> Row:
    """Convert a row; content that is no base64 counts as empty.

    Its key and version are known, so that it can be replaced.
    """
    try:
        content = base64.b64decode(row.content, validate=True)
    except ValueError as error:
        _log.warning(
            'Content of a row unreadable.', row=row.key, reason=str(error)
        )
        content = b''
    return Row(row.key, content, str(row.row_version))


def _to_store_failure(failure: CallFailure) -> StoreFailure:
    return StoreFailure(
        StoreFault.UNAVAILABLE,
        failure.step.value,
        failure.peer,
        failure.reason,
    )
