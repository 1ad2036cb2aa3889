"""The task that brings a node to the accepted version and keeps it there.

Versions are told with the membership's datagrams. A node that is behind asks
whoever told it, takes pieces from peers by digest, and goes to the store only
when no peer has them.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

import msgspec
from result import Err

from carobmoor.configuration._collect import Collector, Fleet, checked
from carobmoor.configuration._document import ServiceDocument
from carobmoor.configuration._state import (
    Change,
    ConfigurationState,
    Offer,
    Snapshot,
    apply_offer,
    offer_since,
)
from carobmoor.configuration._store import (
    Accepted,
    HeadRow,
    load_manifest,
    read_head,
)
from carobmoor.store import Store, jitter
from carobmoor.telemetry import logger_for

SINCE_TARGET: Final = '/_carobmoor/configuration/since'
# How long a starting node waits for the word of a living one.
_WORD_PATIENCE_S: Final = 5
_POLL_INTERVAL_S: Final = 1
_RARE_POLL_INTERVAL_S: Final = 600
_TELLERS: Final = 3
_TELLER_ZONES: Final = 2
_log = logger_for('configuration')


class Teller(NamedTuple):
    """A node that told the version in force there."""

    address: str
    zone: str


class Follower:
    """Follows the accepted version on one node."""

    def __init__(
        self,
        platform: Store,
        state: ConfigurationState,
        fleet: Fleet,
        rng: random.Random,
    ) -> None:
        """Bind the state to the store and to the other nodes."""
        self.state = state
        # The least version that may be in force; unknown at the start.
        self.floor: int | None = None
        self._platform = platform
        self.fleet = fleet
        self._rng = rng
        self._collector = Collector(platform, state, fleet, rng)
        self._told: dict[Teller, int] = {}
        self._newest: tuple[int, str] = (0, '')
        self._is_behind = asyncio.Event()
        self._next_poll_s = float(0)
        self._waiting_from_s: float | None = None

    @property
    def accepted(self) -> Accepted | None:
        """The version in force, with what of it is held here."""
        return self.state.accepted

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.state.version

    def hear(self, teller: Teller, version: int) -> None:
        """Take note of the version in force at another node."""
        if self.floor is None:
            self._told[teller] = version
            self._is_behind.set()
        if version > self.state.version:
            self._newest = (version, teller.address)
            self._is_behind.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.step(time.monotonic())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    _POLL_INTERVAL_S * jitter(self._rng)
                ):
                    await self._is_behind.wait()

    async def step(self, now_s: float) -> None:
        """Do what is due now."""
        self._is_behind.clear()
        if self.floor is None:
            await self._find_floor(now_s)
        version, teller = self._newest
        if self.floor is not None and version > self.state.version:
            await self.catch_up(teller)
        if self.floor is None:
            return
        is_short = self.state.version < self.floor or self.fleet.is_poller()
        if is_short or now_s >= self._next_poll_s:
            await self._poll(now_s)

    async def catch_up(self, teller: str) -> bool:
        """Come to the version that another node has in force."""
        asked = msgspec.json.encode(self.state.version)
        answered = await self.fleet.ask(teller, SINCE_TARGET, asked)
        if answered is None:
            return False
        try:
            offer = msgspec.json.decode(answered, type=Offer)
        except msgspec.DecodeError:
            return False
        snapshot = apply_offer(self.state, offer)
        if snapshot is None:
            return False
        return await self._take(snapshot, offer.changes, teller)

    async def declared(self, service: str) -> ServiceDocument | None:
        """Give what is declared of a service; others' are fetched on demand.

        `None` when the version in force does not declare it, or when no node
        and no store had its piece.
        """
        if service not in self._services():
            await self._borrow(service)
        return self._services().get(service)

    def _services(self) -> Mapping[str, ServiceDocument]:
        accepted = self.state.accepted
        return {} if accepted is None else accepted.document['services']

    async def _borrow(self, service: str) -> bool:
        digest = self.state.manifest.services.get(service)
        if digest is None:
            return False
        texts = await self._collector.collect(
            [digest], self._collector.sources(service, ())
        )
        if digest not in texts:
            return False
        if self.state.manifest.services.get(service) == digest:
            self.state.lend(service, texts[digest])
        return True

    def note_published(
        self,
        snapshot: Snapshot,
        change: Change,
        texts: Mapping[str, str],
    ) -> None:
        """Put in force what was accepted through this node."""
        self.state.keep_spare(texts)
        is_next = snapshot.head.version == self.state.version + 1
        changes = [change] if is_next else []
        self.state.put_in_force(snapshot, changes, texts)

    async def _find_floor(self, now_s: float) -> None:
        """Learn what must be in force before this node is ready.

        The store may give a row as it was before its last write, so the word
        of a living node is waited for too, within a bound.
        """
        read = await read_head(self._platform)
        if isinstance(read, Err):
            if _is_told_enough(self._told, self.fleet):
                self.floor = max(self._told.values())
                _log.info('Version told by peers.', version=self.floor)
            return
        if self._is_waiting_for_word(now_s):
            return
        self.floor = max(read.ok_value.version, *self._told.values(), 0)
        await self._reach(read.ok_value)

    def _is_waiting_for_word(self, now_s: float) -> bool:
        if self._told or not self.fleet.expects_word():
            return False
        if self._waiting_from_s is None:
            self._waiting_from_s = now_s
        return now_s - self._waiting_from_s < _WORD_PATIENCE_S

    async def _poll(self, now_s: float) -> None:
        """Read the head; a store that is down changes nothing."""
        wait_s = _RARE_POLL_INTERVAL_S * jitter(self._rng)
        self._next_poll_s = now_s + wait_s
        read = await read_head(self._platform)
        if isinstance(read, Err):
            _log.debug('Head not read.', failure=str(read.err_value))
            return
        await self._reach(read.ok_value)

    async def _reach(self, row: HeadRow) -> None:
        if row.head is None or row.version <= self.state.version:
            return
        loaded = await load_manifest(self._platform, row.head)
        if isinstance(loaded, Err):
            _log.warning('Manifest not read.', failure=str(loaded.err_value))
            return
        snapshot = Snapshot(row.head, loaded.ok_value)
        changes = await self._collector.describe(snapshot)
        await self._take(snapshot, changes, '')

    async def _take(
        self,
        snapshot: Snapshot,
        changes: Sequence[Change],
        teller: str,
    ) -> bool:
        """Get the pieces that this node needs, then put them in force."""
        if snapshot.head.version < (self.floor or 0):
            return False
        for change in changes:
            self.state.keep_spare(checked(change.inline))
        service = self.state.service
        first = [teller, *(each.origin for each in changes)]
        digests = snapshot.manifest.digests_for([service])
        texts = await self._collector.collect(
            digests, self._collector.sources(service, first)
        )
        if any(digest not in texts for digest in digests):
            _log.warning('Pieces missing.', version=snapshot.head.version)
            return False
        return self.state.put_in_force(snapshot, changes, texts)


def _is_told_enough(told: Mapping[Teller, int], fleet: Fleet) -> bool:
    """Tell whether enough nodes of enough zones told their version."""
    in_force = {teller for teller, version in told.items() if version}
    zones = {teller.zone for teller in in_force}
    wanted = max(1, min(_TELLERS, fleet.count_others()))
    wanted_zones = min(_TELLER_ZONES, fleet.count_zones())
    return len(in_force) >= wanted and len(zones) >= wanted_zones


def answer_since(state: ConfigurationState, body: bytes) -> bytes:
    """Answer a node that is behind; raises `msgspec.DecodeError`."""
    version = msgspec.json.decode(body, type=int)
    return msgspec.json.encode(offer_since(state, version))
