"""A node's estimate of its own health, which scales its probe timeouts."""

from typing import Final

_MAX_SCORE: Final = 8


class LocalHealth:
    """A score that rises when this node itself seems slow or cut off.

    Probe intervals and timeouts are multiplied by `factor`, so that a slow
    node probes less often and waits longer before it suspects another.
    """

    def __init__(self) -> None:
        """Start with the best score, 0."""
        self.score = 0

    @property
    def factor(self) -> int:
        """The multiplier of intervals and timeouts; 1 when healthy."""
        return 1 + self.score

    def record_success(self) -> None:
        """Record a probe that was answered in time."""
        self.score = max(0, self.score - 1)

    def record_failure(self) -> None:
        """Record a sign that this node, not another, is slow or cut off."""
        self.score = min(_MAX_SCORE, self.score + 1)
