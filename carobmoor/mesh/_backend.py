"""What a node knows of its own backend server."""

from typing import Final, NamedTuple

from carobmoor.mesh._best import WindowedMinimum
from carobmoor.mesh._messages import Announcement, Standing
from carobmoor.mesh._room import Room
from carobmoor.routing import SuccessRate

_TYPICAL_PERCENT: Final = 100
_SUCCESS_SMOOTHING: Final = 0.1
_SPELL_SMOOTHING: Final = 0.1
# The server is slow above this multiple of its baseline slowdown.
_SLOW_RATIO: Final = 1.4
# Assumed length of a slow spell until one has been observed.
_INITIAL_SPELL_S: Final = 0.15
_MAX_SPELL_S: Final = 1.0
_MIN_PARTS: Final = 3
_SLOWDOWN_PART: Final = 3
# The baseline slowdown is the minimum over one to two of these windows.
_BASELINE_WINDOW_S: Final = 0.6


class LoadHeader(NamedTuple):
    """The load that a backend server reports with an answer."""

    running: int
    waiting: int
    slots: int
    # Slowdown; `None` if the server does not report it.
    pace_percent: int | None


def read_load(content: str) -> LoadHeader | None:
    """Parse a load header; `None` if it is malformed.

    The format is "running,waiting,slots", optionally followed by the slowdown
    in percent of the typical service time.
    """
    parts = content.split(',')
    try:
        numbers = [int(float(part)) for part in parts]
    except ValueError:
        return None
    if len(numbers) < _MIN_PARTS:
        return None
    slowdown_percent: int | None = None
    if len(numbers) > _SLOWDOWN_PART:
        slowdown_percent = max(1, numbers[_SLOWDOWN_PART])
    return LoadHeader(numbers[0], numbers[1], numbers[2], slowdown_percent)


class Backend:
    """The announced backend server and its measurements."""

    def __init__(self) -> None:
        """Start before any announcement."""
        self.last: Announcement | None = None
        # Runs of the server that announced that they leave: (id, born_ms).
        self._left_runs: set[tuple[str, int]] = set()
        self.pace_percent = _TYPICAL_PERCENT
        self._baseline = WindowedMinimum(_BASELINE_WINDOW_S)
        # Smoothed length of slow spells.
        self.slow_spell_s = _INITIAL_SPELL_S
        self._slow_from_s = float(0)
        self.slowdown_at_s = float(0)
        self.reports_slowdown = False
        self.success = SuccessRate(_SUCCESS_SMOOTHING)
        self.room = Room(1)

    @property
    def instance_id(self) -> str:
        """The id of the announced backend server; empty if there is none."""
        return '' if self.last is None else self.last.instance_id

    @property
    def base_percent(self) -> int:
        """The baseline slowdown: the minimum of recent reports."""
        return int(self._baseline.minimum(self.pace_percent))

    @property
    def is_ready(self) -> bool:
        """Whether it accepts new requests."""
        return self.last is not None and self.last.standing is Standing.READY

    def announce(self, announcement: Announcement) -> bool:
        """Apply an announcement and return whether it changed anything.

        Ignores announcements that are older than the last one. A run of the
        server that announced its leaving never becomes ready again.
        """
        if not self._is_newer(announcement):
            return False
        before = self.last
        if announcement.standing is not Standing.READY:
            self._left_runs.add(_run_key(announcement))
        if announcement.standing is Standing.GONE and before is not None:
            announcement = before._replace(standing=Standing.GONE)
        self.last = announcement
        if before is None or _run_key(before) != _run_key(announcement):
            self.success.reset()
            return True
        return (
            before.standing != announcement.standing
            or before.slots != announcement.slots
        )

    def recall(self, known: Announcement) -> None:
        """Restore what the store kept from an earlier run of this node."""
        if known.standing is not Standing.READY:
            self._left_runs.add(_run_key(known))
        if self.last is None:
            self.last = known

    @property
    def is_slow(self) -> bool:
        """Whether the server is slowed down temporarily.

        A server that stays slow raises its baseline and is no longer slow.
        """
        return self.pace_percent > _SLOW_RATIO * self.base_percent

    def record_slowdown(self, pace_percent: int | None, now_s: float) -> None:
        """Record the slowdown that the server reported just now.

        `None` stands for an answer without a slowdown.
        """
        self.slowdown_at_s = now_s
        if pace_percent is None:
            return
        self.reports_slowdown = True
        was_slow = self.is_slow
        self._baseline.record(pace_percent, now_s)
        self.pace_percent = pace_percent
        if was_slow == self.is_slow:
            return
        if was_slow:
            spell_s = min(now_s - self._slow_from_s, _MAX_SPELL_S)
            difference_s = spell_s - self.slow_spell_s
            self.slow_spell_s += _SPELL_SMOOTHING * difference_s
        self._slow_from_s = now_s

    def _is_newer(self, announcement: Announcement) -> bool:
        known = self.last
        if _run_key(announcement) in self._left_runs:
            return announcement.standing is not Standing.READY and (
                known is None or _run_key(known) == _run_key(announcement)
            )
        if known is None:
            return True
        if announcement.standing is Standing.GONE:
            return announcement.instance_id == known.instance_id
        if _run_key(announcement) == _run_key(known):
            return announcement.sequence > known.sequence
        return announcement.born_ms >= known.born_ms or not announcement.born_ms


def _run_key(announced: Announcement) -> tuple[str, int]:
    return (announced.instance_id, announced.born_ms)
