"""The share of the fleet's budget for repeated sends that a node may use."""

from collections import defaultdict, deque
from typing import Final

from carobmoor.mesh._messages import MeshBounds

_MS_PER_S: Final = 1000
# Of what the bounds allow; the rest covers repeats made for other nodes.
_USED_SHARE: Final = 0.6
# Of the allowance that doesn't depend on requests.
_USED_SLACK: Final = 0.5


class ServiceRepeats:
    """When requests and repeats of one service were sent, lately."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.requests_s: deque[float] = deque()
        self.repeats_s: deque[float] = deque()


class RepeatBudget:
    """Counts requests and repeats in a sliding window, by service."""

    def __init__(self, bounds: MeshBounds) -> None:
        """Start with nothing sent."""
        self._bounds = bounds
        self._services: defaultdict[str, ServiceRepeats] = defaultdict(
            ServiceRepeats,
        )
        self.refused = 0

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        known = self._services[service]
        known.requests_s.append(now_s)
        self._trim(known, now_s)

    def take(self, service: str, nodes: int, now_s: float) -> bool:
        """Take one repeat, if this node's share of the budget allows it.

        `nodes` is how many share what does not depend on requests.
        """
        known = self._services[service]
        self._trim(known, now_s)
        earned = self._bounds.retry_ratio * len(known.requests_s) * _USED_SHARE
        slack = self._bounds.retry_slack * _USED_SLACK / max(1, nodes)
        if len(known.repeats_s) + 1 > earned + slack:
            self.refused += 1
            return False
        known.repeats_s.append(now_s)
        return True

    def _trim(self, known: ServiceRepeats, now_s: float) -> None:
        oldest_s = now_s - self._bounds.retry_window_ms / _MS_PER_S
        for times in (known.requests_s, known.repeats_s):
            while times and times[0] < oldest_s:
                times.popleft()
