"""The metrics of choice, measuring, retries and hedges."""

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
    """Reads the counts of a dispatcher when metrics are asked for."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Read from one dispatcher."""
        self._dispatcher = dispatcher

    def collect(self) -> Iterable[Metric]:
        """Give every count as a metric."""
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
        'Candidates that get no calls but trials.',
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
        'Calls by service and kind; all but the offered ones are extra.',
        labels=('service', 'kind'),
    )
    left = GaugeMetricFamily(
        'carobmoor_retry_budget_left',
        'Retries that the budget of a service still holds.',
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
