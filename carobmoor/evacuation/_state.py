"""The evacuated zones that a node knows of."""

from typing import NamedTuple


class EvacuatedZones(NamedTuple):
    """The zones that are evacuated, as of a version of the store."""

    version: int = 0
    zones: frozenset[str] = frozenset()


class EvacuationState:
    """The newest set of evacuated zones; it never goes back to an older one."""

    def __init__(self) -> None:
        """Start with no zone evacuated, and older than any version."""
        self.current = EvacuatedZones()

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return self.current.zones

    def merge(self, reported: EvacuatedZones) -> bool:
        """Replace the set by a newer one; return whether the zones changed.

        The version is kept also when the zones stay the same: an older set
        that arrives later may be another.
        """
        if reported.version <= self.current.version:
            return False
        before = self.current.zones
        self.current = reported
        return reported.zones != before
