"""Tests of the document's sections on admission and quarantine."""

from nose2.tools import params

from carobmoor.admission import AdmissionTuning
from carobmoor.configuration import (
    admission_policy_of,
    quarantine_policy_of,
    validate_document,
)
from carobmoor.quarantine import QuarantinePolicy


def document(**service):
    """Make a document of one rank and one service with these settings."""
    rank = {
        'name': 'booking',
        'target_latency_ms': 250,
        'worth': 1.0,
        'guaranteed_share': 0.5,
    }
    declared = {'team': 'storefront', 'slots': 9, **service}
    return {'ranks': [rank], 'services': {'bookings': declared}}


def test_absent_sections_give_defaults():
    """Without the sections, the policies have their defaults."""
    checked = validate_document(document()).unwrap()
    policy = admission_policy_of(checked, 'bookings')
    assert policy.tuning == AdmissionTuning()
    assert quarantine_policy_of(checked, 'bookings') == QuarantinePolicy()


def test_settings_appear_in_policies():
    """Settings of the sections appear in the policies."""
    given = document(
        admission={'least_slots': 2, 'share_burst_ms': 50},
        quarantine={'mark_ms': 2000},
    )
    checked = validate_document(given).unwrap()
    tuning = admission_policy_of(checked, 'bookings').tuning
    assert tuning == AdmissionTuning(least_slots=2, share_burst_ms=50)
    assert quarantine_policy_of(checked, 'bookings').mark_ms == 2000


@params(
    ('admission', 'least_slots', 0),
    ('admission', 'share_burst_ms', 0),
    ('admission', 'slowdown_ratio', 1.0),
    ('admission', 'pause_bound_ms', 9),
    ('admission', 'unknown', 1),
    ('quarantine', 'mark_ms', 999),
    ('quarantine', 'quarantine_ms', 86_400_001),
    ('quarantine', 'most_marks', 0),
)
def test_bad_setting_is_fault_with_path(section, name, setting):
    """A setting that is out of range or unknown is a fault with its path."""
    given = document(**{section: {name: setting}})
    faults = validate_document(given).unwrap_err()
    assert faults[0].path == f'$.services.bookings.{section}.{name}'
