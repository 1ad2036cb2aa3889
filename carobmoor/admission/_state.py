"""The state of admission: who runs, and who waits in which queue."""

from collections import Counter, deque

from carobmoor.admission._messages import AdmissionPolicy, Arrival


class AdmissionState:
    """The slots and queues of one backend server.

    Only the functions of this package change it, and never across an await.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        """Start with every slot free and every queue empty."""
        self.policy = policy
        self.in_flight: Counter[str] = Counter()
        self.queues: dict[str, deque[Arrival]] = {}
        self.service_time_s = float(0)
        self.replace_policy(policy)

    @property
    def in_flight_total(self) -> int:
        """How many requests hold a slot."""
        return self.in_flight.total()

    @property
    def queued_total(self) -> int:
        """How many requests wait."""
        return sum(len(queue) for queue in self.queues.values())

    def replace_policy(self, policy: AdmissionPolicy) -> None:
        """Take a new policy; whoever waits or runs stays."""
        self.policy = policy
        for rank in policy.ranks:
            self.queues.setdefault(rank.name, deque())
