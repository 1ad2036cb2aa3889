"""Checks a history against every rule."""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

from proofs import _processes, _requests
from proofs._messages import Bounds, Breach, History, Rule

RULES: Final[MappingProxyType[str, Rule]] = MappingProxyType(
    {
        rule.__name__: rule
        for rule in (
            _requests.whole_and_own_answers,
            _requests.whole_requests,
            _requests.not_run_never_started,
            _requests.at_most_one_start,
            _requests.every_call_ends,
            _requests.slots_never_exceeded,
            _requests.probes_within_budget,
            _processes.nothing_starts_after_leaving,
            _processes.planned_stops_cut_nothing,
            _processes.versions_never_fall,
            _processes.one_content_for_a_version,
            _processes.accepted_is_kept,
            _processes.accepted_is_in_force_in_time,
        )
    },
)


def check(history: History, bounds: Bounds) -> Sequence[Breach]:
    """Return all breaches in a history; empty if every rule holds."""
    return [
        breach for rule in RULES.values() for breach in rule(history, bounds)
    ]
