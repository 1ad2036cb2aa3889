"""The progress of one transfer against its floor."""

from carobmoor.transport._messages import ProgressFloor


class ProgressMeter:
    """Counts what a transfer moved while somebody waited for it.

    Only waiting time counts, so that a slow reader doesn't make its sender
    look stalled. `left_s` is the time in which the rest of the least bytes
    must come; a wait that outlasts it means that the transfer stalled.
    """

    def __init__(self, floor: ProgressFloor) -> None:
        """Start a first interval in which nothing was moved."""
        self._floor = floor
        self._moved_bytes = 0
        self.left_s = floor.interval_s

    def note(self, moved_bytes: int, waited_s: float) -> None:
        """Count a wait and what it brought; enough starts a new interval."""
        self._moved_bytes += moved_bytes
        self.left_s -= waited_s
        if self._moved_bytes >= self._floor.least_bytes:
            self._moved_bytes = 0
            self.left_s = self._floor.interval_s
