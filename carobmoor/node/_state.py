"""State of a node that its modules share."""

import asyncio
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from carobmoor.admission import AdmissionPolicy, Gate
from carobmoor.burn import BurnState, Objective, recorded_services
from carobmoor.client import DispatchCollector, Dispatcher
from carobmoor.configuration import (
    AcceptedVersion,
    ConfigurationState,
    admission_policy_of,
    objectives_of,
    quarantine_policy_of,
    retry_policy_of,
    routing_policy_of,
)
from carobmoor.explain import RecordState
from carobmoor.history import EventKind, make_recorder
from carobmoor.membership import Gossip, MemberStatus
from carobmoor.node._configuration_follower import make_follower
from carobmoor.node._pools import Pools
from carobmoor.node._settings import Settings, operators_of
from carobmoor.quarantine import (
    MARKS_TARGET,
    MarkExchange,
    Quarantine,
    QuarantineState,
    ServiceNodes,
)
from carobmoor.routing import (
    BackendStatistics,
    LoadReport,
    outcome_age_ms,
    service_time_us,
    success_permille,
)
from carobmoor.store import Store
from carobmoor.telemetry import NodeMetrics
from carobmoor.tickets import TicketPolicy, TicketTable
from carobmoor.transport import Address, PauseMonitor, parse_address

_NO_POLICY: Final = AdmissionPolicy(0, 0, ())
_SERVING_STATUSES: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


class NodeState:
    """The components of one node, and its current ranks."""

    def __init__(
        self,
        settings: Settings,
        pools: Pools,
        store: Store,
        dispatcher: Dispatcher,
        gossip: Gossip,
    ) -> None:
        """Create the parts; the node is not ready without a configuration."""
        self.settings = settings
        self.service = settings['service']
        self.operators = operators_of(settings)
        self.address = str(Address(**settings['listen']))
        self.backend_server = Address(**settings['backend_server'])
        self.pools = pools
        self.store = store
        self.dispatcher = dispatcher
        self.gossip = gossip
        self.metrics = NodeMetrics()
        self.metrics.registry.register(DispatchCollector(dispatcher))
        self.backend_statistics = BackendStatistics()
        self.record_event = make_recorder(
            settings.get('history_path', ''),
            self.address,
        )
        self.burn = BurnState()
        self.request_records = RecordState()
        self.gate = Gate(_NO_POLICY)
        self.quarantine = Quarantine(
            self.address,
            self.backend_server,
            MarkExchange(
                QuarantineState(),
                ServiceNodes(self.address, self._serving_nodes),
                self._exchange_marks,
                random.Random(),
            ),
        )
        self.configuration = make_follower(
            store,
            ConfigurationState(self._put_in_force, self.service),
            gossip,
        )
        self.pauses = PauseMonitor(time.monotonic())
        self.tickets = TicketTable(
            self.address, TicketPolicy(), time.monotonic()
        )
        # Set once a configuration is in force.
        self.has_configuration = asyncio.Event()
        self.rank_names: frozenset[str] = frozenset()
        self.default_rank = ''
        # Called when the backend server says that it leaves.
        self.on_server_leaving: Callable[[], None] = _do_nothing

    @property
    def target_s_by_rank(self) -> Mapping[str, float]:
        """The latency of each rank within which an answer counts as good."""
        return self.dispatcher.routing.policy.target_s_by_rank

    def objectives(self) -> Sequence[Objective]:
        """Return the objectives of every service with recorded answers."""
        accepted = self.configuration.accepted
        if accepted is None:
            return ()
        services = recorded_services(self.burn)
        return objectives_of(accepted.document, services)

    def load_report(self) -> LoadReport:
        """Return the current load of the backend server."""
        admission = self.gate.state
        now_s = time.monotonic()
        return LoadReport(
            max(1, admission.concurrency_limit.limit),
            admission.in_flight_total,
            admission.queued_total,
            service_time_us(self.backend_statistics),
            self.gate.is_leaving,
            success_permille(self.backend_statistics, now_s),
            outcome_age_ms(self.backend_statistics, now_s),
        )

    def count_request(
        self,
        service: str,
        rank: str,
        outcome: str,
        started_s: float,
        failed_id: str,
    ) -> None:
        """Count a request that ended here; `failed_id` is empty on success."""
        elapsed_s = time.monotonic() - started_s
        self.metrics.count_request(
            service,
            rank,
            outcome,
            elapsed_s,
            failed_id,
        )

    def _serving_nodes(self) -> Sequence[str]:
        """Return the nodes that may run requests of this node's service."""
        return [
            member.address
            for member in self.gossip.state.of_service(self.service)
            if member.status in _SERVING_STATUSES
        ]

    async def _exchange_marks(
        self, node_address: str, body: bytes
    ) -> bytes | None:
        """Exchange marks with another node of the service."""
        address = parse_address(node_address)
        return await self.gossip.peers.post(address, MARKS_TARGET, body)

    def _put_in_force(self, accepted: AcceptedVersion) -> None:
        document = accepted.document
        names = [rank['name'] for rank in document['ranks']]
        self.rank_names = frozenset(names)
        self.has_configuration.set()
        self.default_rank = names[-1]
        self.dispatcher.routing.replace_policy(routing_policy_of(document))
        self.dispatcher.retries.replace_policy(retry_policy_of(document))
        self.metrics.configuration_version.set(accepted.head.version)
        self.gossip.announce_version(accepted.head.version)
        self.record_event(
            EventKind.IN_FORCE,
            version=accepted.head.version,
            digest=accepted.head.digest,
        )
        if self.service in document['services']:
            policy = admission_policy_of(document, self.service)
            self.gate.state.replace_policy(policy)
            self.quarantine.state.policy = quarantine_policy_of(
                document,
                self.service,
            )
            self.gate.expire_and_start()


def _do_nothing() -> None:
    """Stand for a callback that is not set yet."""
