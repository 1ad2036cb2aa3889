"""The backend server beside this node, as it tells of itself."""

from typing import Final, NamedTuple

from carobmoor.mesh._messages import Announcement, Standing
from carobmoor.routing import SuccessRate

_USUAL_PACE_PERCENT: Final = 100
_SUCCESS_SMOOTHING: Final = 0.1
_HOLD_SMOOTHING: Final = 0.1
_FIRST_HOLD_MS: Final = 150
_CHANGE_PERCENT: Final = 15
_LEAST_PARTS: Final = 3
_PACE_PART: Final = 3
_MS_PER_S: Final = 1000


class LoadHeader(NamedTuple):
    """What a backend server says of its load with an answer."""

    running: int
    waiting: int
    slots: int
    # `None` when the server doesn't tell it.
    pace_percent: int | None


def read_load(content: str) -> LoadHeader | None:
    """Read "running,waiting,slots" and perhaps a pace; `None` if unreadable."""
    parts = content.split(',')
    try:
        figures = [int(float(part)) for part in parts]
    except ValueError:
        return None
    if len(figures) < _LEAST_PARTS:
        return None
    pace: int | None = None
    if len(figures) > _PACE_PART:
        pace = max(1, figures[_PACE_PART])
    return LoadHeader(figures[0], figures[1], figures[2], pace)


class Backend:
    """The announced backend server and what is measured of it."""

    def __init__(self) -> None:
        """Start before any announcement."""
        self.last: Announcement | None = None
        # Starts that said that they leave: (id, born_ms).
        self._left: set[tuple[str, int]] = set()
        self.cold_until_s = float(0)
        self.pace_percent = _USUAL_PACE_PERCENT
        self.pace_hold_ms = float(_FIRST_HOLD_MS)
        self.pace_changed_at_s = float(0)
        self.pace_at_s = float(0)
        self.tells_pace = False
        self.success = SuccessRate(_SUCCESS_SMOOTHING)

    @property
    def instance_id(self) -> str:
        """The id of the announced backend server; empty when there is none."""
        return '' if self.last is None else self.last.instance_id

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return self.last is not None and self.last.standing is Standing.READY

    def announce(self, heard: Announcement, now_s: float) -> bool:
        """Take in an announcement; tell whether it changed anything.

        One that is older than what is known, or of a start that said that it
        leaves, changes nothing.
        """
        if not self._is_news(heard):
            return False
        before = self.last
        if heard.standing is not Standing.READY:
            self._left.add(_start_of(heard))
        if heard.standing is Standing.GONE and before is not None:
            heard = before._replace(standing=Standing.GONE)
        self.last = heard
        if heard.cold_ms > 0:
            self.cold_until_s = now_s + heard.cold_ms / _MS_PER_S
        if before is None or _start_of(before) != _start_of(heard):
            self.success.forget()
            return True
        return before.standing != heard.standing or before.slots != heard.slots

    def recall(self, known: Announcement) -> None:
        """Take in what the store kept of an earlier start of this node."""
        if known.standing is not Standing.READY:
            self._left.add(_start_of(known))
        if self.last is None:
            self.last = known

    def note_pace(self, pace_percent: int | None, now_s: float) -> None:
        """Take in the pace that the server told just now."""
        self.pace_at_s = now_s
        if pace_percent is None:
            return
        self.tells_pace = True
        change = abs(pace_percent - self.pace_percent)
        if change * _USUAL_PACE_PERCENT < _CHANGE_PERCENT * self.pace_percent:
            return
        held_ms = (now_s - self.pace_changed_at_s) * _MS_PER_S
        gap_ms = min(held_ms, 10 * self.pace_hold_ms) - self.pace_hold_ms
        self.pace_hold_ms += _HOLD_SMOOTHING * gap_ms
        self.pace_percent = pace_percent
        self.pace_changed_at_s = now_s

    def _is_news(self, heard: Announcement) -> bool:
        known = self.last
        if _start_of(heard) in self._left:
            return heard.standing is not Standing.READY and (
                known is None or _start_of(known) == _start_of(heard)
            )
        if known is None:
            return True
        if heard.standing is Standing.GONE:
            return heard.instance_id == known.instance_id
        if _start_of(heard) == _start_of(known):
            return heard.sequence > known.sequence
        return heard.born_ms >= known.born_ms or not heard.born_ms


def _start_of(announced: Announcement) -> tuple[str, int]:
    return (announced.instance_id, announced.born_ms)
