"""The parts of one mesh node, and what is in force in it."""

import random
import time
from collections.abc import Mapping
from typing import Final

from carobmoor.admission import AdmissionPolicy, Gate, RankPolicy
from carobmoor.mesh._backend import Backend
from carobmoor.mesh._budget import RepeatBudget
from carobmoor.mesh._datagrams import Load, NodeRecord
from carobmoor.mesh._messages import HeaderNames, MeshSettings
from carobmoor.mesh._pace import PaceWatch, Question
from carobmoor.mesh._peers import Peers
from carobmoor.mesh._work import WorkTimes
from carobmoor.routes import RouteTable, SplitState
from carobmoor.transport import ConnectionPool, ServingLimits

_MS_PER_S: Final = 1000
_PERMILLE: Final = 1000
_DEFAULT_TARGET_MS: Final = 500
# Waiting requests at one backend server.
_QUEUE_LIMIT: Final = 64


class MeshNode:
    """One node: its settings, what it knows, and what it holds open."""

    def __init__(self, settings: MeshSettings, names: HeaderNames) -> None:
        """Make the parts; nothing runs yet."""
        self.settings = settings
        self.names = names
        self.rng = random.Random()
        self.table: RouteTable | None = None
        # The document from which the table was decoded, for other nodes.
        self.document = b''
        self.splits = SplitState(self.rng)
        self.work = WorkTimes()
        self.budget = RepeatBudget(settings.bounds)
        self.backend = Backend()
        self.peers = Peers(settings.availability_zone, settings.region)
        self.node_pool = ConnectionPool()
        self.backend_pool = ConnectionPool()
        self.pace = PaceWatch(
            self.backend,
            Question(
                self.backend_pool,
                settings.backend_server,
                names.load,
                self.health_path,
            ),
        )
        self.gate = Gate(AdmissionPolicy(1, _QUEUE_LIMIT, ()))
        self.incarnation = int(time.time() * _MS_PER_S)
        self.revision = 0
        self.is_leaving = False
        # From then on requests of callers are refused; none before a stop.
        self.refuses_from_s = float('inf')
        self.has_read_members = False
        self.in_hand = 0
        self.last_request_s = float(0)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self.table is not None
            and self.has_read_members
            and not self.is_leaving
        )

    @property
    def version(self) -> int:
        """The version of the routes in force; 0 before any."""
        return 0 if self.table is None else self.table.version

    def record(self) -> NodeRecord:
        """Tell who this node is."""
        last = self.backend.last
        is_ready = self.backend.is_ready and not self.is_leaving
        return NodeRecord(
            self.settings.node_address.ip,
            self.settings.node_address.port,
            self.incarnation,
            self.revision,
            self.settings.availability_zone,
            self.settings.service if last is None else last.service,
            self.backend.instance_id,
            0 if last is None else last.slots,
            last is not None and not is_ready,
        )

    def load(self, now_s: float) -> Load:
        """Tell the load of the backend server."""
        backend = self.backend
        pace = backend.pace_percent
        if backend.cold_until_s > now_s:
            pace *= 2
        return Load(
            self.incarnation,
            self.revision,
            self.version,
            self.gate.state.in_flight_total,
            self.gate.state.queued_total,
            pace,
            int(backend.pace_hold_ms),
            int(backend.success.at(now_s) * _PERMILLE),
        )

    def limits(self) -> ServingLimits:
        """Give what callers may send just now."""
        if self.table is None:
            return ServingLimits(is_closing=self.is_leaving)
        limits = self.table.limits
        return ServingLimits(
            limits.most_header_bytes,
            limits.most_body_bytes,
            limits.header_timeout_ms / _MS_PER_S,
            limits.idle_timeout_ms / _MS_PER_S,
            self.is_leaving,
        )

    def health_path(self) -> str | None:
        """Give the path for health checks of the own backend server."""
        last = self.backend.last
        if last is None or self.table is None:
            return None
        service = self.table.services.get(last.service)
        return None if service is None else service.health_path

    def apply_table(self, table: RouteTable, document: bytes) -> None:
        """Put a version of the routes in force."""
        self.table = table
        self.document = document
        self.renew_admission()

    def renew_admission(self) -> None:
        """Bring slots and ranks up to date with what is known."""
        last = self.backend.last
        slots = 1 if last is None else max(1, last.slots)
        targets = {} if self.table is None else _targets_ms(self.table)
        share = 0.5 / max(1, len(targets))
        ranks = [
            RankPolicy(rank_name(priority), int(target_ms), 1, share)
            for priority, target_ms in sorted(targets.items())
        ]
        policy = AdmissionPolicy(slots, _QUEUE_LIMIT, ranks)
        if policy != self.gate.state.policy:
            self.gate.state.replace_policy(policy)


def _targets_ms(table: RouteTable) -> Mapping[int, float]:
    """Give the shortest target latency of each priority."""
    targets: dict[int, float] = {}
    for by_prefix in table.routes.values():
        for route in by_prefix.values():
            known_ms = targets.get(route.priority, route.timeout_ms)
            targets[route.priority] = min(known_ms, route.target_latency_ms)
    return targets


def rank_name(priority: int) -> str:
    """Name the rank of requests of a priority."""
    return f'priority-{priority}'
