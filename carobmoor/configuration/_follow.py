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

from carobmoor.configuration._collect import (
    PeerAccess,
    PieceCollector,
    verified_texts,
)
from carobmoor.configuration._document import ServiceDocument
from carobmoor.configuration._state import (
    Change,
    ConfigurationState,
    MissedVersions,
    Snapshot,
    missed_versions_since,
    snapshot_after,
)
from carobmoor.configuration._store import (
    AcceptedVersion,
    HeadRow,
    load_manifest,
    read_head,
)
from carobmoor.decoding import decode_json
from carobmoor.store import Store, jitter_factor
from carobmoor.telemetry import logger_for

MISSED_VERSIONS_TARGET: Final = '/_carobmoor/configuration/since'
# How long a starting node waits for a live node to report its version.
_REPORT_TIMEOUT_S: Final = 5
_POLL_INTERVAL_S: Final = 1
# For nodes that are not pollers.
_RARE_POLL_INTERVAL_S: Final = 600
# Reports, and their zones, that a starting node needs if it cannot read the
# store; fewer if fewer are known.
_REQUIRED_REPORTS: Final = 3
_REQUIRED_ZONES: Final = 2
_log = logger_for('configuration')


class ReportingNode(NamedTuple):
    """A node that reported the version in force on it."""

    address: str
    zone: str


class Follower:
    """Keeps a node at the newest accepted version."""

    def __init__(
        self,
        store: Store,
        state: ConfigurationState,
        peer_access: PeerAccess,
        rng: random.Random,
    ) -> None:
        """Update `state` from the other nodes and the store."""
        self.state = state
        # The lowest version that may be put in force; `None` until known.
        self.min_version: int | None = None
        self._store = store
        self.peer_access = peer_access
        self._rng = rng
        self._collector = PieceCollector(store, state, peer_access, rng)
        self._reported_versions: dict[ReportingNode, int] = {}
        self._newest_report: tuple[int, str] = (0, '')
        self._wake = asyncio.Event()
        self._next_poll_s = float(0)
        self._waiting_since_s: float | None = None

    @property
    def accepted(self) -> AcceptedVersion | None:
        """The version in force, with the part of it that this node holds."""
        return self.state.accepted

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none yet."""
        return self.state.version

    def record_peer_version(
        self, reporter: ReportingNode, version: int
    ) -> None:
        """Record the version in force on another node."""
        if self.min_version is None:
            self._reported_versions[reporter] = version
            self._wake.set()
        if version > self.state.version:
            self._newest_report = (version, reporter.address)
            self._wake.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.step(time.monotonic())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    _POLL_INTERVAL_S * jitter_factor(self._rng)
                ):
                    await self._wake.wait()

    async def step(self, now_s: float) -> None:
        """Do what is due at `now_s`: start up, catch up or poll the store."""
        self._wake.clear()
        if self.min_version is None:
            await self._determine_min_version(now_s)
        version, address = self._newest_report
        if self.min_version is not None and version > self.state.version:
            await self.catch_up(address)
        if self.min_version is None:
            return
        polls_each_step = (
            self.state.version < self.min_version
            or self.peer_access.is_poller()
        )
        if polls_each_step or now_s >= self._next_poll_s:
            await self._poll(now_s)

    async def catch_up(self, address: str) -> bool:
        """Put in force the version of another node; return if that worked."""
        request_body = msgspec.json.encode(self.state.version)
        response_body = await self.peer_access.post(
            address, MISSED_VERSIONS_TARGET, request_body
        )
        if response_body is None:
            return False
        try:
            missed_versions = decode_json(response_body, MissedVersions)
        except msgspec.DecodeError:
            return False
        snapshot = snapshot_after(self.state, missed_versions)
        if snapshot is None:
            return False
        return await self._fetch_and_apply(
            snapshot, missed_versions.changes, address
        )

    async def find_service(self, service: str) -> ServiceDocument | None:
        """Return the declaration of a service.

        That of a service this node does not hold is fetched. Returns `None` if
        the version in force does not declare it, or if its piece was found
        neither on a node nor in the store.
        """
        if service not in self._held_services():
            await self._fetch_service(service)
        return self._held_services().get(service)

    def _held_services(self) -> Mapping[str, ServiceDocument]:
        accepted = self.state.accepted
        return {} if accepted is None else accepted.document['services']

    async def _fetch_service(self, service: str) -> bool:
        digest = self.state.manifest.services.get(service)
        if digest is None:
            return False
        texts = await self._collector.collect(
            [digest], self._collector.sources(service, ())
        )
        if digest not in texts:
            return False
        if self.state.manifest.services.get(service) == digest:
            self.state.hold_other_service(service, texts[digest])
        return True

    def apply_published(
        self,
        snapshot: Snapshot,
        change: Change,
        texts: Mapping[str, str],
    ) -> None:
        """Put in force a version that was accepted through this node."""
        self.state.cache_texts(texts)
        is_next = snapshot.head.version == self.state.version + 1
        changes = [change] if is_next else []
        self.state.put_in_force(snapshot, changes, texts)

    async def _determine_min_version(self, now_s: float) -> None:
        """Determine the version that this node needs before it is ready.

        The store may return a row as it was before the last write. A node
        therefore also waits, for a limited time, until a live node reports
        its version.
        """
        read = await read_head(self._store)
        if isinstance(read, Err):
            if _has_enough_reports(self._reported_versions, self.peer_access):
                self.min_version = max(self._reported_versions.values())
                _log.info(
                    'Store not readable; minimum version taken from peers.',
                    version=self.min_version,
                )
            return
        if self._is_waiting_for_report(now_s):
            return
        self.min_version = max(
            read.ok_value.version, *self._reported_versions.values(), 0
        )
        await self._advance_to(read.ok_value)

    def _is_waiting_for_report(self, now_s: float) -> bool:
        if self._reported_versions or not self.peer_access.expects_report():
            return False
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        return now_s - self._waiting_since_s < _REPORT_TIMEOUT_S

    async def _poll(self, now_s: float) -> None:
        """Read the head; if that fails, try again at the next poll."""
        wait_s = _RARE_POLL_INTERVAL_S * jitter_factor(self._rng)
        self._next_poll_s = now_s + wait_s
        read = await read_head(self._store)
        if isinstance(read, Err):
            _log.debug(
                'Could not read the head; polling again later.',
                failure=str(read.err_value),
            )
            return
        await self._advance_to(read.ok_value)

    async def _advance_to(self, row: HeadRow) -> None:
        if row.head is None or row.version <= self.state.version:
            return
        loaded = await load_manifest(self._store, row.head)
        if isinstance(loaded, Err):
            _log.warning(
                'Could not read the manifest; keeping the old version.',
                failure=str(loaded.err_value),
            )
            return
        snapshot = Snapshot(row.head, loaded.ok_value)
        changes = await self._collector.describe_change(snapshot)
        await self._fetch_and_apply(snapshot, changes, '')

    async def _fetch_and_apply(
        self,
        snapshot: Snapshot,
        changes: Sequence[Change],
        address: str,
    ) -> bool:
        """Fetch the pieces this node needs and put the version in force."""
        if snapshot.head.version < (self.min_version or 0):
            return False
        for change in changes:
            self.state.cache_texts(verified_texts(change.inline))
        service = self.state.service
        preferred = [address, *(each.origin for each in changes)]
        digests = snapshot.manifest.digests_for([service])
        texts = await self._collector.collect(
            digests, self._collector.sources(service, preferred)
        )
        if any(digest not in texts for digest in digests):
            _log.warning(
                'Pieces not found; keeping the old version.',
                version=snapshot.head.version,
            )
            return False
        return self.state.put_in_force(snapshot, changes, texts)


def _has_enough_reports(
    reported: Mapping[ReportingNode, int], peer_access: PeerAccess
) -> bool:
    """Return whether enough nodes in enough zones reported a version."""
    in_force = {reporter for reporter, version in reported.items() if version}
    zones = {reporter.zone for reporter in in_force}
    required = max(1, min(_REQUIRED_REPORTS, peer_access.count_others()))
    required_zones = min(_REQUIRED_ZONES, peer_access.count_zones())
    return len(in_force) >= required and len(zones) >= required_zones


def handle_since_request(state: ConfigurationState, body: bytes) -> bytes:
    """Answer the request of a node that is behind.

    Raises `msgspec.DecodeError` if the body cannot be decoded.
    """
    version = decode_json(body, int)
    return msgspec.json.encode(missed_versions_since(state, version))
