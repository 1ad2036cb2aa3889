"""Tests of the metrics of routing, probes, retries and hedges."""

import msgspec
from prometheus_client import CollectorRegistry, generate_latest

from carobmoor.client import Call, DispatchCollector, policies_of
from carobmoor.client._policies import apply_policies
from carobmoor.client.tests.fixtures import (
    SERVICE,
    ScriptedDispatcher,
    asynchronous,
    failed,
)
from carobmoor.retries import RetryPolicy
from carobmoor.telemetry import NodeMetrics


@asynchronous
async def test_retries_and_probe_costs_are_exported():
    """Retries and the cost of probes are exported beside offered calls."""
    dispatcher = ScriptedDispatcher((failed(),))
    await dispatcher.dispatch(Call(SERVICE, 'GET', '/', repeatable=True))
    dispatcher.routing.counts['probe_bytes'] += 300
    registry = CollectorRegistry()
    registry.register(DispatchCollector(dispatcher))
    exported = generate_latest(registry).decode()
    for line in (
        'carobmoor_calls_total{kind="offered",service="bookings"} 1.0',
        'carobmoor_calls_total{kind="retry",service="bookings"} 2.0',
        'carobmoor_retry_budget_left{service="bookings"} 18.0',
        'carobmoor_routing_probe_bytes_total 300.0',
        'carobmoor_routing_ejected_candidates{service="bookings"} 0.0',
    ):
        assert line in exported.splitlines(), exported


def test_metric_names_do_not_collide_with_node():
    """No metric name of the dispatcher collides with one of a node."""
    metrics = NodeMetrics()
    collector = DispatchCollector(ScriptedDispatcher(()))
    metrics.registry.register(collector)
    assert b'carobmoor_routing_probes' in metrics.render()


def test_client_applies_policies_of_node():
    """A client applies the policies of a node and ignores invalid ones."""
    node = ScriptedDispatcher(())
    node.retries.replace_policy(RetryPolicy(most_retries=1))
    caller = ScriptedDispatcher(())
    apply_policies(caller, msgspec.json.encode(policies_of(node)))
    assert caller.retries.policy.most_retries == 1
    apply_policies(caller, b'{"routing": 7}')
    assert caller.retries.policy.most_retries == 1
