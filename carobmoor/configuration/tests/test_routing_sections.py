"""Tests of the document's sections on routing and on retries."""

from nose2.tools import params
from result import Err

from carobmoor.configuration import (
    retry_policy_of,
    routing_policy_of,
    validate_document,
)
from carobmoor.retries import DEFAULT_RETRY_POLICY
from carobmoor.routing import DEFAULT_ROUTING_POLICY

MINIMAL_DOCUMENT = {
    'ranks': [
        {
            'name': 'urgent',
            'target_latency_ms': 100,
            'worth': 1.0,
            'guaranteed_share': 0.5,
        },
    ],
    'services': {'bookings': {'team': 'desk', 'slots': 9}},
}


def test_absent_sections_give_defaults():
    """Without the sections, only the target latencies of ranks are set."""
    policy = routing_policy_of(MINIMAL_DOCUMENT)
    assert policy.target_s_by_rank == {'urgent': 0.1}
    assert policy.probe_bytes_per_s == DEFAULT_ROUTING_POLICY.probe_bytes_per_s
    assert retry_policy_of(MINIMAL_DOCUMENT) == DEFAULT_RETRY_POLICY


def test_settings_appear_in_policies():
    """Each setting appears in its policy, in the unit of the policy."""
    document = {
        **MINIMAL_DOCUMENT,
        'routing': {
            'probe_bytes_per_s': 10,
            'probe_core_share': 0.01,
            'paid_link_bytes_per_s': 20,
            'paid_link_bytes_per_s_by_rank': {'urgent': 30},
            'ejected_share': 0.5,
            'ramp_ms': 1500,
        },
        'retries': {
            'retry_share': 0.2,
            'retry_reserve': 5,
            'most_retries': 1,
            'hedge_share': 0.01,
            'hedge_quantile': 0.99,
        },
    }
    checked = validate_document(document).unwrap()
    policy = routing_policy_of(checked)
    assert policy.paid_bytes_per_s('urgent') == 30
    assert policy.paid_bytes_per_s('browse') == 20
    assert (policy.ramp_s, policy.ejected_share) == (1.5, 0.5)
    assert tuple(retry_policy_of(checked)) == (0.2, 5, 1, 0.01, 0.99)


@params(
    ('routing', 'probe_bytes_per_s', -1),
    ('routing', 'probe_core_share', 1.5),
    ('routing', 'ejected_share', -0.1),
    ('routing', 'ramp', 1),
    ('routing', 'paid_link_bytes_per_s_by_rank', {'Urgent': 1}),
    ('retries', 'most_retries', 9),
    ('retries', 'hedge_quantile', 0.2),
    ('retries', 'retry_share', '0.1'),
)
def test_bad_setting_is_fault_with_path(section, setting, content):
    """A setting out of range, of the wrong type or unknown is a fault."""
    checked = validate_document(
        {**MINIMAL_DOCUMENT, section: {setting: content}}
    )
    assert isinstance(checked, Err)
    assert f'$.{section}.{setting}' in str(checked.err_value[0])
