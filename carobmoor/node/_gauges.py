"""Gauges that are set from the node state when metrics are requested."""

import time

from carobmoor.node._state import NodeState
from carobmoor.quarantine import list_marks


def set_gauges(node: NodeState) -> None:
    """Update the gauges of admission, the store, tickets and quarantine."""
    metrics = node.metrics
    admission = node.gate.state
    metrics.in_flight.set(admission.in_flight_total)
    metrics.queued.set(admission.queued_total)
    metrics.concurrency_limit.set(admission.concurrency_limit.limit)
    metrics.rate_limit.set(admission.rate_limit.per_s)
    for name, rank in admission.ranks.items():
        metrics.rank_slots_in_use.labels(name).set(rank.in_flight)
        metrics.rank_queued.labels(name).set(len(rank.queue))
    metrics.store_down.set(node.store.is_down)
    metrics.event_loop_pauses.set(node.gate.pauses)
    metrics.ticket_decisions.set(len(node.tickets.decisions))
    marks = list_marks(node.quarantine.state, time.monotonic())
    metrics.marked_requests.set(len(marks))
