"""Keeps the proof of the configuration fresh, from other nodes or the store."""

import asyncio
import math
from collections.abc import Sequence
from typing import Final

from result import Err

from carobmoor.clock import boot_time_s
from carobmoor.freshness import (
    Freshness,
    FreshnessPolicy,
    age_s,
    ask,
    is_question_due,
    is_read_due,
)
from carobmoor.mesh._datagrams import FreshnessQuery, encode_datagram
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._route_follower import RouteFollower
from carobmoor.mesh._state import MeshNode, record_read
from carobmoor.mesh._watchers import watchers_of
from carobmoor.telemetry import logger_for

_TICK_S: Final = 0.1
# While nothing has to be proven; the settings may change.
_IDLE_S: Final = 1.0
# Other nodes that are asked when the last question got no answer.
_MORE_ASKED: Final = 3
_QUESTION_BITS: Final = 62
_log = logger_for('freshness')


def policy_of(node: MeshNode) -> FreshnessPolicy | None:
    """Return how fresh the configuration must be; `None` if it need not be.

    It must where callers have keys and their revocation fails closed.
    """
    revocation_ms = node.settings.bounds.revocation_ms
    if revocation_ms is None or node.table is None or not node.table.teams:
        return None
    return FreshnessPolicy(revocation_ms / 1000)


def key_valid_s(node: MeshNode) -> float:
    """Return how long keys that are valid now stay so without a new proof.

    Infinite if nothing has to be proven; negative once the proof is too old.
    """
    policy = policy_of(node)
    if policy is None:
        return math.inf
    state = node.store_availability.freshness
    return policy.max_age_s - age_s(state, node.version, boot_time_s())


class FreshnessKeeper:
    """Asks other nodes and reads the store, each when it is due."""

    def __init__(self, node: MeshNode, follower: RouteFollower) -> None:
        """Read the store through `follower`, which applies what is new."""
        self._node = node
        self._follower = follower
        # The version of the store as of which the document was applied.
        self._read_version: int | None = None
        self._reading: asyncio.Task[None] | None = None
        self._read_at_s = -math.inf
        self._was_fresh = True

    async def run(self) -> None:
        """Renew the proof when due, until cancelled."""
        while True:
            policy = policy_of(self._node)
            if policy is not None:
                self.tick(policy, boot_time_s())
            is_off = self._node.settings.bounds.revocation_ms is None
            await asyncio.sleep(_IDLE_S if is_off else _TICK_S)

    def tick(self, policy: FreshnessPolicy, now_s: float) -> None:
        """Ask and read if it is due at `now_s`."""
        node = self._node
        version = node.version
        state = node.store_availability.freshness
        watchers = watchers_of(node)
        reads_for_region = bool(watchers) and watchers[0].is_self
        is_due = is_read_due(
            state, policy, version, now_s, reads_for_region=reads_for_region
        )
        if is_due and now_s - self._read_at_s >= policy.read_interval_s:
            self._start_read(now_s)
        if is_question_due(
            state, policy, version, now_s, reads_for_region=reads_for_region
        ):
            self._ask(state, watchers, now_s)
        self._log_change(age_s(state, version, now_s), policy)

    def _start_read(self, now_s: float) -> None:
        if self._reading is None or self._reading.done():
            self._read_at_s = now_s
            self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        """Read the configuration if anything was written since; a proof.

        A change feed is no proof: it may be silent for a while. A document
        that can't be decoded may have taken a key away.
        """
        began_s = boot_time_s()
        latest = await self._follower.read_store_version()
        if isinstance(latest, Err):
            return
        if latest.ok_value == self._read_version:
            record_read(self._node, began_s)
            return
        self._read_version = await self._follower.read_document()

    def _ask(
        self, state: Freshness, watchers: Sequence[Peer], now_s: float
    ) -> None:
        node = self._node
        asked = [peer for peer in watchers[:1] if not peer.is_self]
        if not asked or not state.is_answered:
            others = [peer for peer in node.peers if not peer.is_self]
            count = min(_MORE_ASKED, len(others))
            asked += (*watchers[1:], *node.rng.sample(others, count))
        question = node.rng.getrandbits(_QUESTION_BITS) + 1
        node.store_availability.freshness = ask(state, question, now_s)
        query = encode_datagram(FreshnessQuery(question))
        for peer in asked:
            if not peer.is_self:
                node.peers.send(peer, query)

    def _log_change(self, known_age_s: float, policy: FreshnessPolicy) -> None:
        is_fresh = known_age_s <= policy.max_age_s
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        _log.warning(
            'Keys refused or accepted again.',
            accepted=is_fresh,
            age_s=round(known_age_s, 3) if known_age_s < math.inf else None,
            version=self._node.version,
            has_store=self._node.store_availability.has_store,
        )
