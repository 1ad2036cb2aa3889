"""Requests that were answered lately, and so killed no backend server."""

from collections import OrderedDict
from typing import Final

# A request that a change of data made deadly counts as such after so long.
_LASTS_S: Final = 30
_MOST: Final = 4096


class AnsweredLately:
    """The fingerprints of requests that got a whole answer, with the time."""

    def __init__(self) -> None:
        """Start with none."""
        self._at_s: OrderedDict[str, float] = OrderedDict()

    def note(self, fingerprint: str, now_s: float) -> None:
        """Note an answer; the oldest is forgotten when there are too many."""
        self._at_s[fingerprint] = now_s
        self._at_s.move_to_end(fingerprint)
        if len(self._at_s) > _MOST:
            self._at_s.popitem(last=False)

    def has(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether the same request was answered lately."""
        at_s = self._at_s.get(fingerprint)
        return at_s is not None and now_s - at_s < _LASTS_S
