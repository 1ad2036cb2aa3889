"""Detection of stalled transfers."""

from carobmoor.transport._messages import ProgressFloor


class ProgressMeter:
    """Measures a transfer against its progress floor.

    Only time spent waiting for data counts, so that a slow reader doesn't
    make the sender look stalled. `remaining_s` is the waiting time that
    remains for the interval's minimum bytes; once it has run out, the transfer
    has stalled.
    """

    def __init__(self, floor: ProgressFloor) -> None:
        """Start the first interval."""
        self._floor = floor
        self._received_bytes = 0
        self.remaining_s = floor.interval_s

    def record_received(self, received_bytes: int, waited_s: float) -> None:
        """Record received bytes and the time waited for them.

        A new interval starts once the minimum is reached.
        """
        self._received_bytes += received_bytes
        self.remaining_s -= waited_s
        if self._received_bytes >= self._floor.min_bytes:
            self._received_bytes = 0
            self.remaining_s = self._floor.interval_s
