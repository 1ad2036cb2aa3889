"""Which requests a node accepts while it stops."""

from typing import Final, NamedTuple

# Callers need this long to learn of a stop. Until then, requests are accepted
# even if their route may take longer than the stop.
_UNNOTICED_S: Final = 0.5


class StopTimes(NamedTuple):
    """Limits of a stop, on the monotonic clock; infinite before it begins.

    ```
    times = stop_times(now_s, 5)
    if not times.may_accept(request_deadline_s, now_s):
        ...  # refuse: its answer could come after the process has ended
    ```
    """

    unnoticed_until_s: float = float('inf')
    # Every accepted request has ended by then.
    requests_end_s: float = float('inf')

    def may_accept(self, deadline_s: float, now_s: float) -> bool:
        """Return whether a request with this deadline ends before the node."""
        return (
            deadline_s <= self.requests_end_s or now_s <= self.unnoticed_until_s
        )


def stop_times(now_s: float, stop_s: float) -> StopTimes:
    """Return the limits of a stop that begins now and may take `stop_s`."""
    return StopTimes(now_s + min(_UNNOTICED_S, stop_s), now_s + stop_s)
