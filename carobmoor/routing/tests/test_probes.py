"""Tests of probes and their budget."""

from nose2.tools import params

from carobmoor.routing import (
    ChoiceQuery,
    ProbeBudget,
    RoutingPolicy,
    charge_probe,
    choose,
    next_probe,
    record_report,
)
from carobmoor.routing.tests.fixtures import (
    HEALTHY_REPORT,
    SERVICE,
    address,
    seeded_random,
    state_of,
)


@params(
    (RoutingPolicy(probe_bytes_per_s=1000, probe_core_share=1), 21),
    (RoutingPolicy(probe_bytes_per_s=10**6, probe_core_share=0.001), 11),
    (RoutingPolicy(probe_bytes_per_s=0), 0),
    (RoutingPolicy(probe_core_share=0), 1),
)
def test_probes_stay_within_both_budgets(policy, max_probes):
    """In ten seconds, at 500 bytes and 1 ms of processor time a probe."""
    state = state_of('rrr', policy)
    budget = ProbeBudget(policy)
    for at in range(100):
        now_s = at / 10
        choose(state, SERVICE, ChoiceQuery(), now_s, seeded_random())
        found = next_probe(state, budget, now_s)
        if found is not None:
            found[1].probed_at_s = now_s
            charge_probe(state, budget, 500, 0.001)
    assert state.counts['probes'] in {
        max_probes,
        max_probes - 1,
        max_probes + 1,
    }


def test_only_stale_in_region_are_probed():
    """No probe for a fresh report, another region or an unused service."""
    state = state_of('rrf')
    budget = ProbeBudget(state.policy)
    assert next_probe(state, budget, 100) is None
    choose(state, SERVICE, ChoiceQuery(), 100, seeded_random())
    fresh = state.find_candidate(SERVICE, address(0))
    record_report(state, SERVICE, fresh, HEALTHY_REPORT, 100)
    assert next_probe(state, budget, 100)[1].address == address(1)
