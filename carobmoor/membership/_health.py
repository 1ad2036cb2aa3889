"""How far a node may trust its own judgement of others."""

from typing import Final

_MOST_SCORE: Final = 8


class LocalHealth:
    """A score that rises when this node itself seems to lag.

    Probe intervals and timeouts are multiplied by `factor`, so that a slow
    node probes less and waits longer before it blames another.
    """

    def __init__(self) -> None:
        """Start healthy."""
        self.score = 0

    @property
    def factor(self) -> int:
        """What intervals and timeouts are multiplied by; 1 when healthy."""
        return 1 + self.score

    def note_good(self) -> None:
        """Note a probe that was answered in time."""
        self.score = max(0, self.score - 1)

    def note_bad(self) -> None:
        """Note a sign that this node, not another, is slow or cut off."""
        self.score = min(_MOST_SCORE, self.score + 1)
