"""The Prometheus metrics of a node, in their own registry."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.openmetrics.exposition import (
    generate_latest as generate_openmetrics,
)

from carobmoor.telemetry._cluster_metrics import ClusterMetrics

_MAX_EXEMPLAR_ID_LENGTH = 64
_LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
)


class NodeMetrics:
    """Metrics of a node.

    The configuration bounds the number of label values.
    """

    def __init__(self) -> None:
        """Create and register every metric."""
        self.registry = CollectorRegistry()
        self.cluster = ClusterMetrics(self.registry)
        self._children: dict[
            tuple[str, str, str],
            tuple[Counter, Histogram],
        ] = {}
        self.requests = Counter(
            'carobmoor_requests',
            'Requests ended at this node, by outcome.',
            ('service', 'rank', 'outcome'),
            registry=self.registry,
        )
        self.latency = Histogram(
            'carobmoor_request_duration_seconds',
            'Time from arrival to the last byte of the answer.',
            ('service', 'rank'),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            'carobmoor_slots_in_use',
            'Slots of the backend server in use.',
            registry=self.registry,
        )
        self.queued = Gauge(
            'carobmoor_requests_queued',
            'Requests that wait for a slot.',
            registry=self.registry,
        )
        self.aborted_requests = Counter(
            'carobmoor_requests_cut',
            'Requests cut at the bound of a stop.',
            registry=self.registry,
        )
        self.ticket_decisions = Gauge(
            'carobmoor_ticket_decisions',
            'Requests whose decision is remembered.',
            registry=self.registry,
        )
        self.concurrency_limit = Gauge(
            'carobmoor_concurrency_limit',
            'The adaptive limit on slots in use, at most the declared slots.',
            registry=self.registry,
        )
        self.rate_limit = Gauge(
            'carobmoor_rate_limit_per_second',
            'The rate limit that the backend server names; 0 if none.',
            registry=self.registry,
        )
        self.rank_slots_in_use = Gauge(
            'carobmoor_rank_slots_in_use',
            'Slots of the backend server in use, by rank.',
            ('rank',),
            registry=self.registry,
        )
        self.rank_queued = Gauge(
            'carobmoor_rank_requests_queued',
            'Requests that wait for a slot, by rank.',
            ('rank',),
            registry=self.registry,
        )
        self.event_loop_pauses = Gauge(
            'carobmoor_node_pauses',
            'How often the event loop stood still beyond its bound.',
            registry=self.registry,
        )
        self.marked_requests = Gauge(
            'carobmoor_marked_requests',
            'Requests marked or quarantined for crashes.',
            registry=self.registry,
        )
        self.store_down = Gauge(
            'carobmoor_store_down',
            'Whether the platform fails every call of this node: 0 or 1.',
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            'carobmoor_configuration_version',
            'The version of the configuration in force.',
            registry=self.registry,
        )

        self.resends = Counter(
            'carobmoor_repeated_sends',
            'Requests sent once more, by service.',
            ('service',),
            registry=self.registry,
        )
        self.hedges = Counter(
            'carobmoor_hedges',
            'Hedges sent, which the resends include.',
            ('service',),
            registry=self.registry,
        )
        self.overlapped_requests = Gauge(
            'carobmoor_overlapped_requests',
            'Pipelined requests started before all earlier answers were sent.',
            registry=self.registry,
        )
        self.held_answer_bytes = Gauge(
            'carobmoor_held_answer_bytes',
            'Bytes of answers that wait for earlier ones.',
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            'carobmoor_held_bytes',
            'Bytes of heads, bodies and answers that all connections hold.',
            registry=self.registry,
        )
        self.shed_connections = Gauge(
            'carobmoor_shed_connections',
            'Connections refused or closed so that others find room.',
            registry=self.registry,
        )
        self.store_calls = Gauge(
            'carobmoor_store_calls',
            'Calls that this node made to the platform.',
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            'carobmoor_log_lines_dropped',
            'Log lines beyond their budget, or that nobody read in time.',
            registry=self.registry,
        )

    def count_request(
        self,
        service: str,
        rank: str,
        outcome: str,
        duration_s: float,
        failed_request_id: str = '',
    ) -> None:
        """Count a request that ended at this node and observe its duration.

        The id of a failed request is attached as an exemplar, which only the
        OpenMetrics format shows; ids are never labels.

        The labelled children of the metrics are cached, because a lookup by
        labels costs more than the increment.
        """
        children = self._children.get((service, rank, outcome))
        if children is None:
            children = (
                self.requests.labels(service, rank, outcome),
                self.latency.labels(service, rank),
            )
            self._children[service, rank, outcome] = children
        exemplar = {'request_id': failed_request_id[:_MAX_EXEMPLAR_ID_LENGTH]}
        children[0].inc(1, exemplar if failed_request_id else None)
        children[1].observe(duration_s)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def render_openmetrics(self) -> bytes:
        """Return the metrics in the OpenMetrics format, with exemplars."""
        return generate_openmetrics(self.registry)
