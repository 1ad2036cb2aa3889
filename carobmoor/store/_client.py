"""The protocol of the platform: HTTP with entity tags.

A row is `GET`, `PUT` or `DELETE /tables/{table}/{key}`; writes carry
`If-Match` with the tag that was read, or `If-None-Match: *` to insert only if
absent. `GET /tables/{table}?prefix=` lists rows. An object is `GET` or
`PUT /objects/{bucket}/{key}`.
"""

import base64
import random
import time
from collections.abc import Sequence
from types import MappingProxyType
from typing import Final, TypedDict
from urllib.parse import quote

from result import Err, Ok, Result

from carobmoor.store._breaker import Breaker
from carobmoor.store._messages import Row, StoreFailure, StoreFault
from carobmoor.transport import (
    Address,
    CallFailure,
    ConnectionPool,
    HeaderList,
    JsonAnswer,
    OutgoingRequest,
    header_of,
    request_json,
)

_TIMEOUT_S: Final = 3
_FAULT_BY_STATUS: Final = MappingProxyType(
    {
        404: StoreFault.MISSING,
        412: StoreFault.PRECONDITION,
    }
)
_FIRST_FAILED_STATUS: Final = 400
_FIRST_FAULTY_STATUS: Final = 500


class _ListedRow(TypedDict):
    key: str
    content: str
    etag: str


class Platform:
    """The two services of the platform, by the addresses of the settings."""

    def __init__(
        self,
        pool: ConnectionPool,
        table_service: Address,
        object_store: Address,
    ) -> None:
        """Use the pool for calls to both services."""
        self._pool = pool
        self._table_service = table_service
        self._object_store = object_store
        rng = random.Random()
        self._breakers = {
            address: Breaker(rng) for address in (table_service, object_store)
        }

    @property
    def is_down(self) -> bool:
        """Whether a service of the platform fails every call just now."""
        return any(breaker.is_open for breaker in self._breakers.values())

    async def get_row(
        self,
        table: str,
        key: str,
    ) -> Result[Row | None, StoreFailure]:
        """Read a row; `None` when there is none."""
        request = OutgoingRequest('GET', _row_target(table, key), ())
        called = await self._call(self._table_service, request)
        if isinstance(called, Err):
            missing = called.err_value.fault is StoreFault.MISSING
            return Ok(None) if missing else called
        return Ok(_row_from(key, called.ok_value))

    async def put_row(
        self,
        table: str,
        key: str,
        content: bytes,
        etag: str,
    ) -> Result[Row, StoreFailure]:
        """Write a row if its tag still is `etag`; empty inserts if absent."""
        request = OutgoingRequest(
            'PUT',
            _row_target(table, key),
            _condition(etag),
            content,
        )
        called = await self._call(self._table_service, request)
        return called.map(lambda answer: _row_from(key, answer))

    async def delete_row(
        self,
        table: str,
        key: str,
        etag: str,
    ) -> Result[None, StoreFailure]:
        """Delete a row if its tag still is `etag`."""
        target = _row_target(table, key)
        request = OutgoingRequest('DELETE', target, _condition(etag))
        called = await self._call(self._table_service, request)
        return called.map(lambda _: None)

    async def list_rows(
        self,
        table: str,
        prefix: str,
    ) -> Result[Sequence[Row], StoreFailure]:
        """List the rows whose key starts with `prefix`, by key."""
        target = f'/tables/{quote(table)}?prefix={quote(prefix)}'
        request = OutgoingRequest('GET', target, ())
        called = await self._call(self._table_service, request)
        return called.map(_rows_from)

    async def get_object(
        self,
        bucket: str,
        key: str,
    ) -> Result[bytes, StoreFailure]:
        """Read a whole object."""
        target = f'/objects/{quote(bucket)}/{quote(key)}'
        request = OutgoingRequest('GET', target, ())
        called = await self._call(self._object_store, request)
        return called.map(lambda answer: answer.body)

    async def put_object(
        self,
        bucket: str,
        key: str,
        body: bytes,
    ) -> Result[None, StoreFailure]:
        """Write an object; writing the same again changes nothing."""
        target = f'/objects/{quote(bucket)}/{quote(key)}'
        request = OutgoingRequest('PUT', target, (), body)
        called = await self._call(self._object_store, request)
        return called.map(lambda _: None)

    async def _call(
        self,
        address: Address,
        request: OutgoingRequest,
    ) -> Result[JsonAnswer, StoreFailure]:
        breaker = self._breakers[address]
        if not breaker.may_call(time.monotonic()):
            return Err(_held_back(address))
        called = await request_json(self._pool, address, request, _TIMEOUT_S)
        if isinstance(called, Err):
            breaker.note(False, time.monotonic())
            return Err(_unavailable(called.err_value))
        answer = called.ok_value
        status = answer.head.status
        breaker.note(status < _FIRST_FAULTY_STATUS, time.monotonic())
        if status < _FIRST_FAILED_STATUS:
            return Ok(answer)
        fault = _FAULT_BY_STATUS.get(status, StoreFault.UNAVAILABLE)
        return Err(
            StoreFailure(fault, 'answer', str(address), f'status {status}'),
        )


def _row_target(table: str, key: str) -> str:
    return f'/tables/{quote(table)}/{quote(key, safe="")}'


def _condition(etag: str) -> HeaderList:
    if etag:
        return ((b'if-match', etag.encode()),)
    return ((b'if-none-match', b'*'),)


def _row_from(key: str, answer: JsonAnswer) -> Row:
    return Row(key, answer.body, header_of(answer.head.headers, b'etag'))


def _rows_from(answer: JsonAnswer) -> Sequence[Row]:
    return [
        Row(listed['key'], base64.b64decode(listed['content']), listed['etag'])
        for listed in answer.decode(list[_ListedRow])
    ]


def _held_back(address: Address) -> StoreFailure:
    return StoreFailure(
        StoreFault.UNAVAILABLE,
        'breaker',
        str(address),
        'not called, since it failed lately',
    )


def _unavailable(failure: CallFailure) -> StoreFailure:
    return StoreFailure(
        StoreFault.UNAVAILABLE,
        failure.step.value,
        failure.peer,
        failure.reason,
    )
