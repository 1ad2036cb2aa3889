"""What a node knows of its own backend server."""

from typing import Final, NamedTuple

from carobmoor.decoding import MAX_COUNT
from carobmoor.mesh._concurrency_limit import ConcurrencyLimit
from carobmoor.mesh._messages import Announcement, ServerStatus
from carobmoor.mesh._windowed_minimum import WindowedMinimum
from carobmoor.routing import SuccessRate

_TYPICAL_PERCENT: Final = 100
_SUCCESS_SMOOTHING: Final = 0.1
_SLOW_PERIOD_SMOOTHING: Final = 0.1
# The server is slow above this multiple of its baseline slowdown.
_SLOW_RATIO: Final = 1.4
# Assumed length of a slow period until one has been observed.
_INITIAL_SLOW_PERIOD_S: Final = 0.15
_MAX_SLOW_PERIOD_S: Final = 1.0
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
    slowdown_percent: int | None


def read_load(content: str) -> LoadHeader | None:
    """Parse a load header; `None` if it is malformed.

    The format is "running,waiting,slots", optionally followed by the slowdown:
    the service time in percent of the typical one.
    """
    parts = content.split(',')
    try:
        numbers = [int(float(part)) for part in parts]
    except (ValueError, OverflowError):
        return None
    if len(numbers) < _MIN_PARTS or max(numbers) > MAX_COUNT:
        return None
    slowdown_percent: int | None = None
    if len(numbers) > _SLOWDOWN_PART:
        slowdown_percent = max(1, numbers[_SLOWDOWN_PART])
    return LoadHeader(numbers[0], numbers[1], numbers[2], slowdown_percent)


class Backend:
    """The announced backend server and its measurements."""

    def __init__(self) -> None:
        """Start before any announcement."""
        self.last_announcement: Announcement | None = None
        # Runs of the server that announced that they leave: (id, born_ms).
        self._left_runs: set[tuple[str, int]] = set()
        self.slowdown_percent = _TYPICAL_PERCENT
        self._baseline = WindowedMinimum(_BASELINE_WINDOW_S)
        # Smoothed length of slow periods.
        self.slow_period_s = _INITIAL_SLOW_PERIOD_S
        self._slow_from_s = float(0)
        self.slowdown_at_s = float(0)
        self.reports_slowdown = False
        self.success = SuccessRate(_SUCCESS_SMOOTHING)
        self.concurrency_limit = ConcurrencyLimit(1)

    @property
    def instance_id(self) -> str:
        """The id of the announced backend server; empty if there is none."""
        return (
            ''
            if self.last_announcement is None
            else self.last_announcement.instance_id
        )

    @property
    def baseline_percent(self) -> int:
        """The baseline slowdown: the minimum of recent reports."""
        return int(self._baseline.minimum(self.slowdown_percent))

    @property
    def is_ready(self) -> bool:
        """Whether it accepts new requests."""
        return (
            self.last_announcement is not None
            and self.last_announcement.status is ServerStatus.READY
        )

    def apply_announcement(self, announcement: Announcement) -> bool:
        """Apply an announcement; return whether run, status or slots changed.

        Ignores announcements that are older than the last one. A run of the
        server that announced its leaving never becomes ready again.
        """
        if not self._is_newer(announcement):
            return False
        before = self.last_announcement
        if announcement.status is not ServerStatus.READY:
            self._left_runs.add(_run_key(announcement))
        if announcement.status is ServerStatus.GONE and before is not None:
            announcement = before._replace(status=ServerStatus.GONE)
        self.last_announcement = announcement
        if before is None or _run_key(before) != _run_key(announcement):
            self.success.reset()
            return True
        return (
            before.status != announcement.status
            or before.slots != announcement.slots
        )

    def record_leaving(self, instance_id: str) -> bool:
        """Record that an instance says in an answer that it leaves.

        Returns whether that changes its status. It never becomes ready again,
        whatever it announces.
        """
        last = self.last_announcement
        if last is None or not self.is_ready or last.instance_id != instance_id:
            return False
        self._left_runs.add(_run_key(last))
        self.last_announcement = last._replace(status=ServerStatus.LEAVING)
        return True

    def restore(self, known: Announcement) -> None:
        """Restore what the store kept from an earlier run of this node."""
        if known.status is not ServerStatus.READY:
            self._left_runs.add(_run_key(known))
        if self.last_announcement is None:
            self.last_announcement = known

    @property
    def is_slow(self) -> bool:
        """Whether the server is slowed down temporarily.

        A server that stays slow raises its baseline and is no longer slow.
        """
        return self.slowdown_percent > _SLOW_RATIO * self.baseline_percent

    def record_slowdown(
        self, slowdown_percent: int | None, now_s: float
    ) -> None:
        """Record the slowdown that the server reported just now.

        `None` stands for an answer without a slowdown.
        """
        self.slowdown_at_s = now_s
        if slowdown_percent is None:
            return
        self.reports_slowdown = True
        was_slow = self.is_slow
        self._baseline.record(slowdown_percent, now_s)
        self.slowdown_percent = slowdown_percent
        if was_slow == self.is_slow:
            return
        if was_slow:
            period_s = min(now_s - self._slow_from_s, _MAX_SLOW_PERIOD_S)
            difference_s = period_s - self.slow_period_s
            self.slow_period_s += _SLOW_PERIOD_SMOOTHING * difference_s
        self._slow_from_s = now_s

    def _is_newer(self, announcement: Announcement) -> bool:
        known = self.last_announcement
        if _run_key(announcement) in self._left_runs:
            return announcement.status is not ServerStatus.READY and (
                known is None or _run_key(known) == _run_key(announcement)
            )
        if known is None:
            return True
        if announcement.status is ServerStatus.GONE:
            return announcement.instance_id == known.instance_id
        if _run_key(announcement) == _run_key(known):
            return announcement.sequence > known.sequence
        # Without a start where the known run named one, it is no new run.
        return announcement.born_ms >= known.born_ms


def _run_key(announced: Announcement) -> tuple[str, int]:
    return (announced.instance_id, announced.born_ms)
