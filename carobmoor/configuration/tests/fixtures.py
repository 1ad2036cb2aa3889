"""A store in memory that misbehaves as told, and documents."""

import asyncio
import copy
import random
from collections.abc import Callable
from typing import Any
from unittest import mock

from result import Err, Ok

from carobmoor.configuration import _publish as publishing
from carobmoor.configuration._collect import Fleet, answer_pieces
from carobmoor.configuration._document import Document
from carobmoor.configuration._follow import (
    SINCE_TARGET,
    Follower,
    Teller,
    answer_since,
)
from carobmoor.configuration._state import ConfigurationState
from carobmoor.platform import Row, StoreFailure, StoreFault
from carobmoor.telemetry import configure_logs

configure_logs('critical')
DOWN = StoreFailure(StoreFault.UNAVAILABLE, 'answer', 'store', 'down')


def document(slots: int = 9) -> Document:
    """Make a document of two services; `slots` tells versions apart."""
    rank = {
        'name': 'booking',
        'target_latency_ms': 100,
        'worth': 1.0,
        'guaranteed_share': 0.5,
    }
    bookings = {'team': 'hire', 'slots': slots}
    media = {'team': 'hire', 'slots': 4}
    return {
        'ranks': [rank],
        'services': {'bookings': bookings, 'media': media},
    }


def submission(
    base: int,
    submission_id: str,
    slots: int = 9,
) -> publishing.Submission:
    """Make a submission."""
    return publishing.Submission(
        document(slots), base, 'op', 'test', submission_id
    )


def scripted(*outcomes: str) -> Callable[[str], Any]:
    """Give the outcomes one after another, then `ok`."""
    left = list(outcomes)

    async def before(_: str) -> str:
        return left.pop(0) if left else 'ok'

    return before


def no_waits() -> Any:
    """Settle without waits between tries."""
    return mock.patch.object(publishing, '_SETTLE_WAIT_S', 0)


class FakePlatform:
    """The store's calls over dictionaries.

    `before` is awaited before each call and gives how it goes: `ok`, `down`,
    `lost` (takes effect, no answer) or `stale` (an older read).
    """

    def __init__(self) -> None:
        """Start empty and well."""
        self.rows: dict[str, tuple[bytes, str]] = {}
        self.older: list[dict[str, tuple[bytes, str]]] = [{}]
        self.objects: dict[str, bytes] = {}
        self.tags = 0
        self.reads = 0
        self.before: Callable[[str], Any] = _all_is_well

    async def get_row(self, table: str, key: str):
        """Read a row, perhaps as it was some writes ago."""
        how = await self.before('read')
        if how == 'down':
            return Err(DOWN)
        self.reads += 1
        rows = self.older[-1] if how == 'stale' else self.rows
        found = rows.get(f'{table}/{key}')
        return Ok(None if found is None else Row(key, *found))

    async def list_rows(self, table: str, prefix: str):
        """List rows."""
        if await self.before('read') == 'down':
            return Err(DOWN)
        start = f'{table}/{prefix}'
        return Ok(
            [
                Row(key, *found)
                for key, found in sorted(self.rows.items())
                if key.startswith(start)
            ],
        )

    async def put_row(self, table: str, key: str, content: bytes, etag: str):
        """Write a row if its tag is as named."""
        how = await self.before('write')
        if how == 'down':
            return Err(DOWN)
        known = self.rows.get(f'{table}/{key}', (b'', ''))
        if known[1] != etag:
            fault = StoreFault.PRECONDITION
            return Err(StoreFailure(fault, 'answer', 'store', '412'))
        self.older.append(copy.copy(self.rows))
        self.tags += 1
        self.rows[f'{table}/{key}'] = (content, str(self.tags))
        if how == 'lost':
            return Err(DOWN)
        return Ok(Row(key, content, str(self.tags)))

    async def get_object(self, bucket: str, key: str):
        """Read an object."""
        if await self.before('read') == 'down':
            return Err(DOWN)
        if key not in self.objects:
            fault = StoreFault.MISSING
            return Err(StoreFailure(fault, 'answer', 'store', '404'))
        return Ok(self.objects[key])

    async def put_object(self, bucket: str, key: str, body: bytes):
        """Write an object."""
        if await self.before('write') == 'down':
            return Err(DOWN)
        self.objects[key] = body
        return Ok(None)


class Nodes:
    """Some followers that reach each other in memory."""

    def __init__(self, platform: Any, count: int, zones: int = 2) -> None:
        """Make followers, none of them started."""
        self.followers: dict[str, Follower] = {}
        self.zones = {str(number): number % zones for number in range(count)}
        self.pollers: set[str] = set()
        self.dead: set[str] = set()
        for number in range(count):
            name = str(number)
            state = ConfigurationState(lambda accepted: None, 'bookings')
            self.followers[name] = Follower(
                platform, state, self._fleet_of(name), random.Random(number)
            )

    def tell(self, sender: str, receiver: str) -> None:
        """Let one node hear the version of another."""
        zone = str(self.zones[sender])
        version = self.followers[sender].version
        self.followers[receiver].hear(Teller(sender, zone), version)

    def _fleet_of(self, name: str) -> Fleet:
        async def ask(address: str, target: str, body: bytes):
            if address in self.dead:
                return None
            state = self.followers[address].state
            if target == SINCE_TARGET:
                return answer_since(state, body)
            return answer_pieces(state, body)

        return Fleet(
            ask,
            lambda service: [each for each in self.followers if each != name],
            lambda: name in self.pollers,
            lambda: len(self.followers) - 1,
            lambda: len(set(self.zones.values())),
        )


async def _all_is_well(_: str) -> str:
    await asyncio.sleep(0)
    return 'ok'
