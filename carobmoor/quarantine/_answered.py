"""Recently answered requests, which are not blamed for a crash."""

from collections import OrderedDict
from typing import Final

# Bounded, since a change of data can turn a harmless request into a crasher.
_LASTS_S: Final = 30
_MOST: Final = 4096


class AnsweredLately:
    """When each fingerprint last got a complete answer, in a bounded cache."""

    def __init__(self) -> None:
        """Start without answers."""
        self._at_s: OrderedDict[str, float] = OrderedDict()

    def note(self, fingerprint: str, now_s: float) -> None:
        """Record an answer, evicting the oldest entry beyond the bound."""
        self._at_s[fingerprint] = now_s
        self._at_s.move_to_end(fingerprint)
        if len(self._at_s) > _MOST:
            self._at_s.popitem(last=False)

    def has(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the same request was answered recently."""
        at_s = self._at_s.get(fingerprint)
        return at_s is not None and now_s - at_s < _LASTS_S
