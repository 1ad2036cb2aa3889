"""Checks a history against every rule."""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

from proofs import _process_rules, _request_rules
from proofs._types import Bounds, Breach, History, Rule

RULES: Final[MappingProxyType[str, Rule]] = MappingProxyType(
    {
        rule.__name__: rule
        for rule in (
            _request_rules.whole_and_own_answers,
            _request_rules.whole_requests,
            _request_rules.not_run_never_started,
            _request_rules.at_most_one_start,
            _request_rules.every_call_ends,
            _request_rules.slots_never_exceeded,
            _request_rules.probes_within_budget,
            _process_rules.nothing_starts_after_leaving,
            _process_rules.planned_stops_cut_nothing,
            _process_rules.versions_never_fall,
            _process_rules.one_content_for_a_version,
            _process_rules.accepted_is_kept,
            _process_rules.accepted_is_in_force_in_time,
        )
    },
)


def check(history: History, bounds: Bounds) -> Sequence[Breach]:
    """Return all breaches in a history; empty if every rule holds."""
    return [
        breach for rule in RULES.values() for breach in rule(history, bounds)
    ]
