"""State of one mesh node: its components, routes and admission policy."""

import functools
import math
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import msgspec

from carobmoor.admission import (
    AdmissionPolicy,
    ColdLimit,
    ColdStarts,
    Gate,
    RankPolicy,
    RateLimit,
    StopTimes,
)
from carobmoor.allotments import (
    AllotmentBounds,
    Allotments,
    Message,
)
from carobmoor.clock import boot_time_s
from carobmoor.freshness import Freshness, Proof, record_proof
from carobmoor.mesh._answer_sizes import AnswerSizes
from carobmoor.mesh._backend import Backend
from carobmoor.mesh._concurrency_limit import ConcurrencyLimit
from carobmoor.mesh._datagrams import Load, NodeRecord, encode_datagram
from carobmoor.mesh._messages import (
    Announcement,
    HeaderNames,
    MeshBounds,
    MeshSettings,
)
from carobmoor.mesh._peers import Peers
from carobmoor.mesh._resend_budget import ResendBudget
from carobmoor.mesh._server_reports import ReportTargets, record_health
from carobmoor.mesh._slowdown import LoadQuery, SlowdownMonitor
from carobmoor.mesh._typical_times import NodeTimes, TypicalTimes
from carobmoor.quarantine import (
    MARKS_TARGET,
    MarkExchange,
    Quarantine,
    QuarantineState,
    ServiceNodes,
)
from carobmoor.routes import RouteTable, SplitState
from carobmoor.telemetry import NodeMetrics
from carobmoor.transport import (
    ConnectionPool,
    MemoryAccount,
    OutgoingRequest,
    PauseMonitor,
    ServingLimits,
    parse_address,
    process_limits,
    request_json,
)

_MS_PER_S: Final = 1000
_PERMILLE: Final = 1000
_DEFAULT_TARGET_MS: Final = 500
# Requests that may wait at one backend server.
_QUEUE_LIMIT: Final = 64
_MARKS_TIMEOUT_S: Final = 0.5


class StoreAvailability:
    """What this node has observed of the store since its start."""

    def __init__(self) -> None:
        """Start with nothing read; the store counts as reachable at first."""
        self.has_read_members = False
        # Whether the last call for the routes was answered.
        self.has_store = True
        # How fresh the configuration in force is known to be.
        self.freshness = Freshness()


class CallerActivity:
    """Requests of callers that this node serves."""

    def __init__(self) -> None:
        """Start without requests."""
        self.unfinished = 0
        self.last_arrival_s = float(0)


class MeshNode:
    """One node: its settings, its view of other nodes, and its connections."""

    def __init__(self, settings: MeshSettings, names: HeaderNames) -> None:
        """Create the components; nothing runs yet."""
        self.settings = settings
        self.names = names
        self.rng = random.Random()
        self.table: RouteTable | None = None
        # The document from which `table` was decoded, served to other nodes.
        self.document = b''
        self.splits = SplitState(self.rng)
        self.times = NodeTimes(TypicalTimes(), TypicalTimes(), AnswerSizes())
        self.resend_budget = ResendBudget(settings.bounds, settings.hedge_share)
        self.backend = Backend()
        self.peers = Peers(settings.availability_zone, settings.region)
        account = MemoryAccount(
            process_limits(
                settings.instance.memory_mb, settings.instance.max_descriptors
            )
        )
        self.node_pool = ConnectionPool(account=account, is_limited=True)
        self.backend_pool = ConnectionPool(account=account)
        self.gate = Gate(AdmissionPolicy(1, _QUEUE_LIMIT, ()))
        self.rate_limit.expect_first_answer(time.monotonic())
        self.slowdown_monitor = SlowdownMonitor(
            self.backend,
            LoadQuery(
                self.backend_pool,
                settings.backend_server,
                functools.partial(record_health, self.report_targets),
                self.health_path,
            ),
        )
        self.pauses = PauseMonitor(time.monotonic())
        own_address = str(settings.node_address)
        mark_exchange = MarkExchange(
            QuarantineState(),
            ServiceNodes(own_address, self._neighbours),
            self._send_marks,
            self.rng,
        )
        self.quarantine = Quarantine(
            own_address, settings.backend_server, mark_exchange
        )
        self.allotments = Allotments(settings.ip, _allotment_sender(self.peers))
        self.metrics = NodeMetrics()
        self.incarnation = int(time.time() * _MS_PER_S)
        self.revision = 0
        self.is_leaving = False
        self.stop_times = StopTimes()
        self.store_availability = StoreAvailability()
        self.callers = CallerActivity()

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send callers to this node."""
        return (
            self.table is not None
            and not self.is_leaving
            and (
                self.store_availability.has_read_members
                or self.peers.has_received_update
            )
        )

    @property
    def rate_limit(self) -> RateLimit:
        """The rate limit that the own backend server names."""
        return self.gate.state.rate_limit

    @property
    def cold_starts(self) -> ColdStarts:
        """The starts that the own backend server may get while it is cold."""
        return self.gate.state.cold_starts

    @property
    def report_targets(self) -> ReportTargets:
        """Where the reports of the own backend server are recorded."""
        return ReportTargets(self.names, self.backend, self.gate)

    @property
    def version(self) -> int:
        """The version of the routes in force; 0 while there are none."""
        return 0 if self.table is None else self.table.version

    def record(self) -> NodeRecord:
        """Return the record of this node, as sent to other nodes."""
        record = self.stored_record()
        if self.is_leaving:
            return msgspec.structs.replace(record, is_leaving=True)
        return record

    def stored_record(self) -> NodeRecord:
        """Return the record that the store keeps for the next start.

        Unlike `record()`, it does not report a planned stop of this node.
        """
        last = self.backend.last_announcement
        return NodeRecord(
            self.settings.node_address.ip,
            self.settings.node_address.port,
            self.incarnation,
            self.revision,
            self.settings.availability_zone,
            self.settings.service if last is None else last.service,
            self.backend.instance_id,
            0 if last is None else last.slots,
            last is not None and not self.backend.is_ready,
            0 if last is None else last.born_ms,
        )

    def load(self, now_s: float) -> Load:
        """Return the load of the backend server, as sent to other nodes."""
        backend = self.backend
        return Load(
            self.incarnation,
            self.revision,
            self.version,
            self.gate.state.in_flight_total,
            self.gate.state.queued_total,
            backend.slowdown_percent,
            backend.baseline_percent,
            int(backend.slow_period_s * _MS_PER_S),
            int(backend.success.rate_at(now_s) * _PERMILLE),
            self.store_availability.has_store,
            self.backend.concurrency_limit.current(now_s),
            math.ceil(self.gate.state.start_interval_s(now_s) * _MS_PER_S),
            int(
                self.gate.state.start_wait_s(
                    self.gate.state.queued_total, now_s
                )
                * _MS_PER_S
            ),
            self.peers.evacuation.current.version,
            tuple(sorted(self.peers.evacuation.zones)),
            sum(1 for _ in self.peers) if self.allotments.is_used else 0,
        )

    def limits(self) -> ServingLimits:
        """Return the limits that currently apply to callers' requests."""
        if self.table is None:
            return ServingLimits(
                is_closing=self.is_leaving,
                max_in_progress=self.settings.max_pipelined,
            )
        limits = self.table.limits
        return ServingLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MS_PER_S,
            limits.idle_timeout_ms / _MS_PER_S,
            self.is_leaving,
            self.settings.max_pipelined,
        )

    def health_path(self) -> str | None:
        """Return the health check path of the own backend server, if known."""
        last = self.backend.last_announcement
        if last is None or self.table is None:
            return None
        service = self.table.services.get(last.service)
        return None if service is None else service.health_path

    def _neighbours(self) -> Sequence[str]:
        last = self.backend.last_announcement
        if last is None:
            return ()
        return [
            str(one.address) for one in self.peers.for_service(last.service)
        ]

    async def _send_marks(self, peer: str, marks: bytes) -> bytes | None:
        request = OutgoingRequest('POST', MARKS_TARGET, (), marks)
        sent = await request_json(
            self.node_pool,
            parse_address(peer),
            request,
            _MARKS_TIMEOUT_S,
        )
        return sent.map(lambda answer: answer.body).ok()

    def apply_table(self, table: RouteTable, document: bytes) -> None:
        """Put a version of the routes in force."""
        self.table = table
        self.document = document
        bounds = self.settings.bounds
        self.allotments.replace_teams(
            table.teams.by_name.values(),
            AllotmentBounds(
                bounds.allotment_window_ms / _MS_PER_S,
                bounds.allotment_ratio,
                bounds.allotment_slack,
            ),
            boot_time_s(),
        )
        self.update_admission()

    def record_run(self, running: int, relative_time: float) -> None:
        """Record a successful request, which may change the concurrency limit.

        `running` is how many requests ran at its start, `relative_time` its
        duration as a multiple of the typical one.
        """
        now_s = time.monotonic()
        self.backend.concurrency_limit.record(running, relative_time, now_s)
        if (
            self.backend.concurrency_limit.current(now_s)
            != self.gate.state.policy.slots
        ):
            self.update_admission()

    def update_admission(self) -> None:
        """Update slots and ranks from the concurrency limit and the routes.

        A changed number of announced slots starts a new concurrency limit, and
        another run of the server has named no rate limit yet.
        """
        now_s = time.monotonic()
        last = self.backend.last_announcement
        if last is not None:
            _follow_server(self, last, now_s)
        if (
            last is not None
            and last.slots != self.backend.concurrency_limit.slots
        ):
            self.backend.concurrency_limit = ConcurrencyLimit(last.slots)
        slots = self.backend.concurrency_limit.current(now_s)
        targets = {} if self.table is None else _targets_ms(self.table)
        share = 0.5 / max(1, len(targets))
        ranks = [
            RankPolicy(rank_name(priority), int(target_ms), 1, share)
            for priority, target_ms in sorted(targets.items())
        ]
        policy = AdmissionPolicy(slots, _QUEUE_LIMIT, ranks, refuses_early=True)
        if policy != self.gate.state.policy:
            self.gate.state.replace_policy(policy)


def _allotment_sender(peers: Peers) -> Callable[[str, Message], None]:
    def send(ip: str, message: Message) -> None:
        peer = peers.find_by_ip(ip)
        if peer is not None:
            peers.send(peer, encode_datagram(message))

    return send


def _follow_server(node: MeshNode, last: Announcement, now_s: float) -> None:
    """Apply what limits the starts of the announced run of the server."""
    run = f'{last.instance_id} {last.born_ms}'
    node.rate_limit.follow_server(run, now_s)
    node.cold_starts.follow_server(run, now_s)
    node.cold_starts.apply_limit(
        _cold_limit(node.settings.bounds, node.table, last.service), now_s
    )


def _cold_limit(
    bounds: MeshBounds, table: RouteTable | None, service: str
) -> ColdLimit:
    """Return what a cold server of a service may get."""
    routed = None if table is None else table.services.get(service)
    if routed is None or not routed.cold_starts_per_s:
        return ColdLimit()
    return ColdLimit(
        routed.cold_starts_per_s, bounds.cold_ratio, bounds.cold_slack
    )


def _targets_ms(table: RouteTable) -> Mapping[int, float]:
    """Return the shortest target latency of each priority."""
    targets: dict[int, float] = {}
    for by_prefix in table.routes.values():
        for route in by_prefix.values():
            known_ms = targets.get(route.priority, route.timeout_ms)
            targets[route.priority] = min(known_ms, route.target_latency_ms)
    # A team's priority may apply to requests of every route.
    shortest_ms = min(targets.values(), default=_DEFAULT_TARGET_MS)
    for team in table.teams.by_name.values():
        if team.priority is not None:
            targets.setdefault(team.priority, shortest_ms)
    return targets


def rank_name(priority: int) -> str:
    """Return the name of the rank for requests of a priority."""
    return f'priority-{priority}'


def record_read(node: MeshNode, began_s: float) -> None:
    """Record that a read that began then showed no newer version."""
    availability = node.store_availability
    proof = Proof(node.version, began_s)
    availability.freshness = record_proof(
        availability.freshness, proof, node.version
    )
