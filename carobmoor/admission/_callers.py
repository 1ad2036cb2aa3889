"""The callers of one rank and the slot time that they have used."""

from sortedcontainers import SortedList

from carobmoor.admission._messages import Arrival


class CallerQueue:
    """The on-time requests of one caller and the slot time it has used."""

    def __init__(self, name: str, weight: float | None, used_s: float) -> None:
        """Start without requests.

        `used_s` is what the caller counts as having used so far, divided by
        its weight. The queue passes the highest value of any caller served, so
        that a new caller gets no head start.
        """
        self.name = name
        self.weight = weight or 1
        self.is_weighted = weight is not None
        self.used_s = used_s
        self.in_flight = 0
        self.waiting = 0
        # By depth: (late_at_s, number) of each on-time request.
        self.by_depth: dict[int, SortedList] = {}

    @property
    def relative_waiting(self) -> float:
        """The number of waiting requests for its weight."""
        return self.waiting / self.weight

    @property
    def is_idle(self) -> bool:
        """Whether no on-time request of this caller waits and none runs."""
        return not self.waiting and self.in_flight <= 0


class Callers:
    """The callers that are not idle, and idle ones that have used more.

    The virtual time is the highest used slot time of any caller served.
    """

    def __init__(self) -> None:
        """Start without callers."""
        self.by_name: dict[str, CallerQueue] = {}
        # (used_s, caller) of idle callers that have used more than others.
        self._idle: SortedList = SortedList()
        self._virtual_time_s = float(0)

    def get_or_add(self, arrival: Arrival) -> CallerQueue:
        """Return the caller of an arrival, which is not idle from now on."""
        caller_queue = self.by_name.get(arrival.caller)
        if caller_queue is None:
            caller_queue = CallerQueue(
                arrival.caller, arrival.weight, self._virtual_time_s
            )
            self.by_name[arrival.caller] = caller_queue
        self._idle.discard((caller_queue.used_s, caller_queue.name))
        return caller_queue

    def advance(self, used_s: float) -> None:
        """Raise the virtual time, and forget idle callers that it passes."""
        self._virtual_time_s = max(self._virtual_time_s, used_s)
        while self._idle and self._idle[0][0] <= self._virtual_time_s:
            _, name = self._idle.pop(0)
            self.by_name.pop(name)

    def retire_if_idle(self, caller_queue: CallerQueue) -> None:
        """Forget an idle caller, unless it is weighted and used more."""
        if not caller_queue.is_idle:
            return
        used_s = caller_queue.used_s
        if caller_queue.is_weighted and used_s > self._virtual_time_s:
            self._idle.add((used_s, caller_queue.name))
        else:
            self.by_name.pop(caller_queue.name, None)
