"""The task that keeps a node at the newest accepted version.

Nodes report their versions in the datagrams of the membership. A node that is
behind asks the node that reported the newest version, fetches pieces from
other nodes by digest, and reads the store only for pieces that none of them
has.
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
# How long a starting node waits for a live node to report its version.
_WORD_PATIENCE_S: Final = 5
_POLL_INTERVAL_S: Final = 1
# For nodes that are not pollers.
_RARE_POLL_INTERVAL_S: Final = 600
# Reports, and their zones, that a starting node needs if it cannot read the
# store; fewer if fewer are known.
_TELLERS: Final = 3
_TELLER_ZONES: Final = 2
_log = logger_for('configuration')


class Teller(NamedTuple):
    """A node that reported the version in force on it."""

    address: str
    zone: str


class Follower:
    """Keeps a node at the newest accepted version."""

    def __init__(
        self,
        platform: Store,
        state: ConfigurationState,
        fleet: Fleet,
        rng: random.Random,
    ) -> None:
        """Update `state` from the other nodes and the store."""
        self.state = state
        # The lowest version that may be put in force; `None` until known.
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
        """The version in force, with the part of it that this node holds."""
        return self.state.accepted

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none yet."""
        return self.state.version

    def hear(self, teller: Teller, version: int) -> None:
        """Record the version in force on another node."""
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
        """Do what is due at `now_s`: start up, catch up or poll the store."""
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
        """Put in force the version of another node; return if that worked."""
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
        """Return the declaration of a service.

        That of a service this node does not hold is fetched. Returns `None` if
        the version in force does not declare it, or if its piece was found
        neither on a node nor in the store.
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
        """Put in force a version that was accepted through this node."""
        self.state.keep_spare(texts)
        is_next = snapshot.head.version == self.state.version + 1
        changes = [change] if is_next else []
        self.state.put_in_force(snapshot, changes, texts)

    async def _find_floor(self, now_s: float) -> None:
        """Determine the version that this node needs before it is ready.

        The store may return a row as it was before the last write. A node
        therefore also waits, for a limited time, until a live node reports
        its version.
        """
        read = await read_head(self._platform)
        if isinstance(read, Err):
            if _is_told_enough(self._told, self.fleet):
                self.floor = max(self._told.values())
                _log.info(
                    'Store not readable; minimum version taken from peers.',
                    version=self.floor,
                )
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
        """Read the head; if that fails, try again at the next poll."""
        wait_s = _RARE_POLL_INTERVAL_S * jitter(self._rng)
        self._next_poll_s = now_s + wait_s
        read = await read_head(self._platform)
        if isinstance(read, Err):
            _log.debug(
                'Could not read the head; polling again later.',
                failure=str(read.err_value),
            )
            return
        await self._reach(read.ok_value)

    async def _reach(self, row: HeadRow) -> None:
        if row.head is None or row.version <= self.state.version:
            return
        loaded = await load_manifest(self._platform, row.head)
        if isinstance(loaded, Err):
            _log.warning(
                'Could not read the manifest; keeping the old version.',
                failure=str(loaded.err_value),
            )
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
        """Fetch the pieces this node needs and put the version in force."""
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
            _log.warning(
                'Pieces not found; keeping the old version.',
                version=snapshot.head.version,
            )
            return False
        return self.state.put_in_force(snapshot, changes, texts)


def _is_told_enough(told: Mapping[Teller, int], fleet: Fleet) -> bool:
    """Return whether enough nodes in enough zones reported a version."""
    in_force = {teller for teller, version in told.items() if version}
    zones = {teller.zone for teller in in_force}
    wanted = max(1, min(_TELLERS, fleet.count_others()))
    wanted_zones = min(_TELLER_ZONES, fleet.count_zones())
    return len(in_force) >= wanted and len(zones) >= wanted_zones


def answer_since(state: ConfigurationState, body: bytes) -> bytes:
    """Answer the request of a node that is behind.

    Raises `msgspec.DecodeError` if the body cannot be decoded.
    """
    version = msgspec.json.decode(body, type=int)
    return msgspec.json.encode(offer_since(state, version))
