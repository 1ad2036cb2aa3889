"""The operator's rows, one for each evacuated zone."""

from collections.abc import Iterable

from carobmoor.store import RowChanges


def zones_after(
    before: frozenset[str], changes: RowChanges, prefix: str
) -> frozenset[str]:
    """Return the evacuated zones after changes of the operator's rows.

    The key of a row is the prefix and the zone. What the row holds does not
    matter: while it exists, its zone is evacuated.
    """
    added = _zones_of((row.key for row in changes.rows), prefix)
    return (before | added) - _zones_of(changes.deleted, prefix)


def _zones_of(keys: Iterable[str], prefix: str) -> frozenset[str]:
    zones = (key.removeprefix(prefix) for key in keys if key.startswith(prefix))
    return frozenset(zone for zone in zones if zone)
