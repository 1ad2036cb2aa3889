"""Metrics of routing, probes, retries and hedges."""

from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Final

from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from carobmoor.client._dispatch import Dispatcher

_PREFIX: Final = 'carobmoor_routing'
_HELP_BY_COUNT: Final = MappingProxyType(
    {
        'reports': 'Load reports received with answers.',
        'report_bytes': 'Bytes of load reports received with answers.',
        'probes': 'Probes sent to measure the load of a candidate.',
        'probe_bytes': 'Bytes of probes and their answers.',
        'probe_core_s': 'CPU seconds spent on probes.',
        'trials': 'Trial calls sent to ejected candidates.',
        'ejected_failing': 'Ejections of candidates because of failures.',
        'ejected_slow': 'Ejections of candidates because of high latency.',
        'paid_link_calls': 'Calls sent over links between regions.',
        'paid_link_bytes': 'Bytes sent over links between regions.',
        'paid_link_refusals': 'Calls not sent between regions, over budget.',
    },
)


class DispatchCollector(Collector):
    """Exports the counters of a dispatcher at each scrape."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Export the counters of one dispatcher."""
        self._dispatcher = dispatcher

    def collect(self) -> Iterable[Metric]:
        """Return every metric."""
        yield from _routing_metrics(self._dispatcher)
        yield from _retry_metrics(self._dispatcher)


def _routing_metrics(dispatcher: Dispatcher) -> Iterator[Metric]:
    counts = dispatcher.routing.counts
    for name, described in _HELP_BY_COUNT.items():
        yield CounterMetricFamily(
            f'{_PREFIX}_{name}',
            described,
            counts.get(name, 0),
        )
    ejected = GaugeMetricFamily(
        f'{_PREFIX}_ejected_candidates',
        'Candidates that receive only trial calls.',
        labels=('service',),
    )
    for service in dispatcher.routing.services:
        known = dispatcher.routing.of(service)
        now_ejected = sum(one.ejection is not None for one in known)
        ejected.add_metric((service,), now_ejected)
    yield ejected


def _retry_metrics(dispatcher: Dispatcher) -> Iterator[Metric]:
    sent = CounterMetricFamily(
        'carobmoor_calls',
        'Calls by service and kind; all kinds but "offered" are extra load.',
        labels=('service', 'kind'),
    )
    left = GaugeMetricFamily(
        'carobmoor_retry_budget_left',
        'Retries left in the budget of a service.',
        labels=('service',),
    )
    for service, budget in dispatcher.retries.services.items():
        sent.add_metric((service, 'offered'), budget.offered)
        sent.add_metric((service, 'retry'), budget.retries)
        sent.add_metric((service, 'hedge'), budget.hedged)
        sent.add_metric((service, 'inherited'), budget.inherited)
        sent.add_metric((service, 'retry_refused'), budget.refused)
        left.add_metric((service,), budget.extra.level)
    yield sent
    yield left
