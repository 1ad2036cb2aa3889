"""Metrics of what binds all nodes of a deployment together."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class ClusterMetrics:
    """Metrics of cold servers, evacuations, teams and their keys."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create and register every metric."""
        self.cold_starts_limited = Gauge(
            'carobmoor_cold_starts_limited',
            'Whether starts are limited, as the server may be cold: 0 or 1.',
            registry=registry,
        )
        self.evacuated_zones = Gauge(
            'carobmoor_evacuated_zones',
            'Availability zones whose servers get no new requests.',
            registry=registry,
        )
        self.evacuation_refusals = Counter(
            'carobmoor_evacuation_refusals',
            'Requests refused since the zone of the server is evacuated.',
            registry=registry,
        )
        self.allotment_starts = Counter(
            'carobmoor_allotment_starts',
            'Starts within allotments: granted, over, no_keeper, returned.',
            ('team', 'outcome'),
            registry=registry,
        )
        self.refused_keys = Counter(
            'carobmoor_keys_refused',
            'Requests refused for their key, by reason.',
            ('reason',),
            registry=registry,
        )
        self.proof_age = Gauge(
            'carobmoor_proof_age_seconds',
            'Age of the proof that the configuration is the newest.',
            registry=registry,
        )
        self.foreign_announcements = Counter(
            'carobmoor_foreign_announcements',
            'Announcements of another server, by the field that shows it.',
            ('field',),
            registry=registry,
        )
