"""A node's share of the deployment's budget for resends."""

from collections import defaultdict, deque
from typing import Final

from carobmoor.mesh._messages import MeshBounds
from carobmoor.retries import HedgeLimit

_MS_PER_S: Final = 1000
# Share of the allowed ratio; the rest covers resends made for other nodes.
_USED_RATIO_SHARE: Final = 0.6
# Share of the fixed allowance, which all nodes divide among them.
_USED_SLACK_SHARE: Final = 0.5


class ServiceHistory:
    """Times of the recent requests and resends of one service."""

    def __init__(self) -> None:
        """Start without requests or resends."""
        self.request_times_s: deque[float] = deque()
        self.resend_times_s: deque[float] = deque()


class ResendBudget:
    """Limits resends per service to a share of its requests.

    Requests and resends are counted in a sliding window.
    """

    def __init__(
        self, bounds: MeshBounds, hedge_share: float | None = None
    ) -> None:
        """Start without requests or resends."""
        self._bounds = bounds
        # The operators' limit on hedges, within that on resends.
        self.hedges = HedgeLimit(hedge_share)
        self._services: defaultdict[str, ServiceHistory] = defaultdict(
            ServiceHistory,
        )
        self.refused = 0

    def record_request(self, service: str, now_s: float) -> None:
        """Record a caller's request for a service."""
        history = self._services[service]
        history.request_times_s.append(now_s)
        self.hedges.record_request(service)
        self._drop_expired(history, now_s)

    def try_spend(self, service: str, nodes: int, now_s: float) -> bool:
        """Spend one resend if this node's share allows it; return whether.

        `nodes` is the number of nodes that share the fixed allowance.
        """
        if not self.allows(service, nodes, now_s):
            self.refused += 1
            return False
        self._services[service].resend_times_s.append(now_s)
        return True

    def allows(self, service: str, nodes: int, now_s: float) -> bool:
        """Return whether this node's share allows one more resend."""
        history = self._services[service]
        self._drop_expired(history, now_s)
        earned = (
            self._bounds.retry_ratio
            * len(history.request_times_s)
            * _USED_RATIO_SHARE
        )
        slack = self._bounds.retry_slack * _USED_SLACK_SHARE / max(1, nodes)
        return len(history.resend_times_s) + 1 <= earned + slack

    def _drop_expired(self, history: ServiceHistory, now_s: float) -> None:
        oldest_s = now_s - self._bounds.retry_window_ms / _MS_PER_S
        for times in (history.request_times_s, history.resend_times_s):
            while times and times[0] < oldest_s:
                times.popleft()
