"""How much of a backend server is used at once, learned from its times.

Some servers slow down when they are nearly full, so that the last slots cost
more than they bring; others use every slot alike. Requests that started in
the last slots are compared with those that started just below them. A server
whose queue never empties gets no starts below, so it is tried with less.
"""

from typing import Final

# From this share of its slots on, a server may slow down.
_KNEE_SHARE: Final = 0.8
# Starts from this share on are under nearly the same load.
_BELOW_SHARE: Final = 0.5
# Of each kind, between comparisons; the times of one kind spread by half their
# mean, so that so many tell a third apart nine times in ten.
_LEAST_STARTS: Final = 24
# Of each kind, before the last slots are taken to be good.
_ENOUGH_STARTS: Final = 72
# Older starts count half from then on.
_MOST_STARTS: Final = 96
# The last slots are left alone where they make a request so much longer.
_COSTLY_RATIO: Final = 1.35
# Starts below the last slots count only so near to one within them, when the
# load on whatever the server calls is alike.
_NEAR_S: Final = 2
# Trying less lasts so long after the last start above: two dozen starts of
# 0.8 s on four slots.
_TRIAL_S: Final = 5
# After so long the last slots are tried again.
_RETRY_S: Final = 60


class Starts:
    """The mean time of requests that started under one load."""

    def __init__(self) -> None:
        """Start with none."""
        self.count = float(0)
        self._sum = float(0)

    @property
    def mean(self) -> float:
        """The mean; there must be some."""
        return self._sum / self.count

    def note(self, slowness: float) -> None:
        """Take in the time of one request."""
        if self.count >= _MOST_STARTS:
            self.count /= 2
            self._sum /= 2
        self.count += 1
        self._sum += slowness


class Room:
    """How many requests one start of a backend server gets at once."""

    def __init__(self, slots: int) -> None:
        """Begin with every slot."""
        self.slots = slots
        self._narrow = max(1, int(slots * _KNEE_SHARE))
        self._above = Starts()
        self._below = Starts()
        self._is_costly = False
        # Of each kind, for the next comparison.
        self._wanted_starts = _LEAST_STARTS
        self._decided_until_s = float(0)
        self._above_at_s = float(0)

    def size(self, now_s: float) -> int:
        """Give how many requests it gets at once."""
        if now_s < self._decided_until_s:
            return self._narrow if self._is_costly else self.slots
        return self._narrow if self._is_trying_less(now_s) else self.slots

    def note(self, running: int, slowness: float, now_s: float) -> None:
        """Take in a request that was answered well.

        `running` is how many ran with it at its start, and `slowness` its
        time as a multiple of what is usual for its kind.
        """
        if now_s < self._decided_until_s:
            return
        if self._is_due() and not self._is_trying_less(now_s):
            # The pressure went away before there was enough to compare.
            self._begin()
        share = running / self.slots
        is_near = now_s < self._above_at_s + _NEAR_S
        is_near = is_near or self._is_trying_less(now_s)
        if share > _KNEE_SHARE:
            self._above.note(slowness)
            self._above_at_s = now_s
        elif is_near and (share > _BELOW_SHARE or running == self._narrow):
            self._below.note(slowness)
        if min(self._above.count, self._below.count) >= self._wanted_starts:
            self._compare(now_s)

    def _is_trying_less(self, now_s: float) -> bool:
        return self._is_due() and now_s <= self._above_at_s + _TRIAL_S

    def _is_due(self) -> bool:
        return self._below.count < self._wanted_starts <= self._above.count

    def _compare(self, now_s: float) -> None:
        costly = _COSTLY_RATIO * self._below.mean
        self._is_costly = self._above.mean > costly
        if self._is_costly or self._wanted_starts >= _ENOUGH_STARTS:
            self._decided_until_s = now_s + _RETRY_S
            self._begin()
        else:
            self._wanted_starts += _LEAST_STARTS

    def _begin(self) -> None:
        self._wanted_starts = _LEAST_STARTS
        self._above = Starts()
        self._below = Starts()
