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
        'reports': 'Load reports that came with answers.',
        'report_bytes': 'Bytes of the load reports that came with answers.',
        'probes': 'Requests sent to learn a load.',
        'probe_bytes': 'Bytes of probes and their answers.',
        'probe_core_s': 'Processor seconds spent on probes.',
        'trials': 'Calls sent to an ejected candidate.',
        'ejected_failing': 'Candidates ejected because they failed.',
        'ejected_slow': 'Candidates ejected because they lagged.',
        'paid_link_calls': 'Calls sent over links between regions.',
        'paid_link_bytes': 'Bytes sent over links between regions.',
        'paid_link_refusals': 'Calls kept off those links by their budget.',
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
    for name, help_text in _HELP_BY_COUNT.items():
        yield CounterMetricFamily(
            f'{_PREFIX}_{name}',
            help_text,
            counts.get(name, 0),
        )
    ejected_gauge = GaugeMetricFamily(
        f'{_PREFIX}_ejected_candidates',
        'Candidates that get no calls but trials.',
        labels=('service',),
    )
    for service in dispatcher.routing.services:
        candidates = dispatcher.routing.candidates_of(service)
        ejected_count = sum(
            candidate.ejection is not None for candidate in candidates
        )
        ejected_gauge.add_metric((service,), ejected_count)
    yield ejected_gauge


def _retry_metrics(dispatcher: Dispatcher) -> Iterator[Metric]:
    call_counter = CounterMetricFamily(
        'carobmoor_calls',
        'Calls by service and kind; all but the offered ones are extra.',
        labels=('service', 'kind'),
    )
    budget_gauge = GaugeMetricFamily(
        'carobmoor_retry_budget_left',
        'Retries that the budget of a service still holds.',
        labels=('service',),
    )
    for service, budget in dispatcher.retries.services.items():
        call_counter.add_metric((service, 'offered'), budget.calls_offered)
        call_counter.add_metric((service, 'retry'), budget.retries)
        call_counter.add_metric((service, 'hedge'), budget.hedges_sent)
        call_counter.add_metric((service, 'inherited'), budget.inherited_calls)
        call_counter.add_metric(
            (service, 'retry_refused'), budget.retries_refused
        )
        budget_gauge.add_metric((service,), budget.extra_calls.level)
    yield call_counter
    yield budget_gauge
