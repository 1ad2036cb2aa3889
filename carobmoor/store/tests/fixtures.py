"""An in-memory store with scripted faults."""

import asyncio
import copy
from collections.abc import Callable
from typing import Any

from result import Err, Ok

from carobmoor.store import Row, StoreFailure, StoreFault

DOWN = StoreFailure(StoreFault.UNAVAILABLE, 'answer', 'store', 'down')


def script_outcomes(*outcomes: str) -> Callable[[str], Any]:
    """Make a `before_call` that returns these outcomes in turn, then `ok`."""
    remaining = list(outcomes)

    async def before_call(_: str) -> str:
        return remaining.pop(0) if remaining else 'ok'

    return before_call


class FakeStore:
    """A store over dictionaries, with the calls that the tests need.

    `before_call` is awaited before each call with `read` or `write`. It returns
    how the call goes: `ok`, `down` (it fails and has no effect), `lost` (it
    takes effect, but the answer is lost) or `stale` (a read as of before the
    last write). Only calls for single rows can be `lost` or `stale`.
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.rows: dict[str, tuple[bytes, str]] = {}
        self.earlier_rows: list[dict[str, tuple[bytes, str]]] = [{}]
        self.objects: dict[str, bytes] = {}
        self.tag_count = 0
        self.read_count = 0
        self.before_call: Callable[[str], Any] = _no_faults

    async def get_row(self, table: str, key: str):
        """Read a row; if stale, as it was before the last write."""
        how = await self.before_call('read')
        if how == 'down':
            return Err(DOWN)
        self.read_count += 1
        rows = self.earlier_rows[-1] if how == 'stale' else self.rows
        found = rows.get(f'{table}/{key}')
        return Ok(None if found is None else Row(key, *found))

    async def list_rows(self, table: str, prefix: str):
        """List the rows whose key starts with `prefix`, by key."""
        if await self.before_call('read') == 'down':
            return Err(DOWN)
        start = f'{table}/{prefix}'
        return Ok(
            [
                Row(key.removeprefix(f'{table}/'), *found)
                for key, found in sorted(self.rows.items())
                if key.startswith(start)
            ],
        )

    async def put_row(self, table: str, key: str, content: bytes, etag: str):
        """Write a row if its tag is still `etag`."""
        how = await self.before_call('write')
        if how == 'down':
            return Err(DOWN)
        known = self.rows.get(f'{table}/{key}', (b'', ''))
        if known[1] != etag:
            fault = StoreFault.PRECONDITION
            return Err(StoreFailure(fault, 'answer', 'store', '412'))
        self.earlier_rows.append(copy.copy(self.rows))
        self.tag_count += 1
        self.rows[f'{table}/{key}'] = (content, str(self.tag_count))
        if how == 'lost':
            return Err(DOWN)
        return Ok(Row(key, content, str(self.tag_count)))

    async def get_object(self, bucket: str, key: str):
        """Read an object."""
        if await self.before_call('read') == 'down':
            return Err(DOWN)
        if key not in self.objects:
            fault = StoreFault.MISSING
            return Err(StoreFailure(fault, 'answer', 'store', '404'))
        return Ok(self.objects[key])

    async def put_object(self, bucket: str, key: str, body: bytes):
        """Write an object."""
        if await self.before_call('write') == 'down':
            return Err(DOWN)
        self.objects[key] = body
        return Ok(None)


async def _no_faults(_: str) -> str:
    await asyncio.sleep(0)
    return 'ok'
