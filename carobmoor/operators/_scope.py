"""Checks of changes against an operator's scope."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from carobmoor.operators._identity import Operator

_SERVICES: Final = 'services'
_TEAM: Final = 'team'


def is_in_scope(operator: Operator, service: str, team: str) -> bool:
    """Return whether a service of a team is in the operator's scope."""
    if operator.has_unlimited_scope:
        return True
    return service in operator.services or team in operator.teams


def changes_out_of_scope(
    operator: Operator,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Sequence[str]:
    """Return the changed parts of a document outside the operator's scope.

    A service must be in scope with its team before and after the change, so
    that nobody takes over another team's service by naming their own team.
    Parts that all services share, such as the ranks, require an unlimited
    scope.
    """
    if operator.has_unlimited_scope:
        return ()
    shared = [
        part
        for part in sorted({*before, *after} - {_SERVICES})
        if before.get(part) != after.get(part)
    ]
    services = [
        f'{_SERVICES}.{name}'
        for name in _changed_services(before, after)
        if not _is_change_in_scope(operator, name, before, after)
    ]
    return (*shared, *services)


def _changed_services(
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Sequence[str]:
    old = before.get(_SERVICES, {})
    new = after.get(_SERVICES, {})
    return [
        name for name in sorted({*old, *new}) if old.get(name) != new.get(name)
    ]


def _is_change_in_scope(
    operator: Operator,
    name: str,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> bool:
    declared = (
        document.get(_SERVICES, {}).get(name) for document in (before, after)
    )
    return all(
        is_in_scope(operator, name, service.get(_TEAM, ''))
        for service in declared
        if service is not None
    )
