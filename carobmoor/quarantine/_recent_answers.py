"""Recently answered requests, which are not blamed for a crash."""

from collections import OrderedDict
from typing import Final

# Bounded, since a change of data can turn a harmless request into a crasher.
_LIFETIME_S: Final = 30
_MAX_ENTRIES: Final = 4096


class RecentAnswers:
    """When each fingerprint last got a complete answer, in a bounded cache."""

    def __init__(self) -> None:
        """Start without answers."""
        self._answered_at_s: OrderedDict[str, float] = OrderedDict()

    def record(self, fingerprint: str, now_s: float) -> None:
        """Record an answer, evicting the oldest entry beyond the bound."""
        self._answered_at_s[fingerprint] = now_s
        self._answered_at_s.move_to_end(fingerprint)
        if len(self._answered_at_s) > _MAX_ENTRIES:
            self._answered_at_s.popitem(last=False)

    def contains(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the same request was answered recently."""
        answered_at_s = self._answered_at_s.get(fingerprint)
        return answered_at_s is not None and now_s - answered_at_s < _LIFETIME_S
