"""Ownership of what one request holds at a gate."""

from types import TracebackType
from typing import Self

from result import Err

from carobmoor.admission._gate import Gate, RequestedSlot
from carobmoor.admission._messages import Arrival
from carobmoor.outcomes import Code


class SlotLease:
    """Owns the place in the queue, and later the slot, of one request.

    It exists before the slot is requested, so that a grant has an owner
    whatever is cancelled meanwhile. The end of its `with` block gives back what
    it still holds:

        with SlotLease(gate) as lease:
            refusal = lease.request(arrival) or await lease.wait()
            if refusal is None:
                run(...)
                lease.leave(service_time_s)

    An owner that outlives the block takes over by `hand_over`.
    """

    def __init__(
        self, gate: Gate, requested: RequestedSlot | None = None
    ) -> None:
        """Start with nothing held, or with what another lease handed over."""
        self._gate = gate
        self._requested = requested

    def __enter__(self) -> Self:
        """Return the lease."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give back what is still held."""
        self.give_back()

    @property
    def must_wait(self) -> bool:
        """Whether the request was queued when it asked for a slot."""
        requested = self._requested
        return requested is not None and requested.waiting is not None

    @property
    def number(self) -> int:
        """Identifies the request at the gate; 0 while nothing is held."""
        return 0 if self._requested is None else self._requested.grant.number

    def request(self, arrival: Arrival) -> Code | None:
        """Ask for a slot; return why it is refused, else call `wait`."""
        self.give_back()
        asked = self._gate.request_slot(arrival)
        if isinstance(asked, Err):
            return asked.err_value
        self._requested = asked.ok_value
        return None

    async def wait(self) -> Code | None:
        """Wait until the slot is granted; return why it is refused, if so."""
        if self._requested is None:
            return None
        waited = await self._gate.wait(self._requested)
        if isinstance(waited, Err):
            self._requested = None
            return waited.err_value
        return None

    def leave(self, service_time_s: float, is_typical: bool = True) -> None:
        """Free the slot after a run, unless it was given back before."""
        requested = self._take()
        if requested is not None:
            self._gate.leave(requested.grant, service_time_s, is_typical)

    def give_back(self) -> None:
        """Leave the queue, or free a slot that was not used."""
        requested = self._take()
        if requested is not None:
            self._gate.give_back(requested)

    def hand_over(self) -> 'SlotLease':
        """Return a new lease that holds what this one held."""
        return SlotLease(self._gate, self._take())

    def _take(self) -> RequestedSlot | None:
        requested = self._requested
        self._requested = None
        return requested
