"""Updates that are still to be sent, each a bounded number of times."""

import heapq
import math
from collections.abc import Sequence
from typing import Final

import msgspec

from carobmoor.membership._messages import Member

# Leaves room for the datagram's other fields below the usual path MTU.
_MOST_NEWS_BYTES: Final = 1100
_MOST_ITEMS: Final = 16
_EXTRA_TELLINGS: Final = 3


def tellings_for(members: int) -> int:
    """Return how often one node sends one update.

    If every node sends an update n times, it misses about a share `exp(-n)`
    of the nodes; anti-entropy brings it to those.
    """
    return _EXTRA_TELLINGS + math.ceil(math.log(members + 1))


class NewsQueue:
    """Addresses of members with unsent updates, and how often each was sent."""

    def __init__(self) -> None:
        """Start without updates."""
        self._told: dict[str, int] = {}
        self._version_left = 0

    def __len__(self) -> int:
        """Return the number of updates still to be sent."""
        return len(self._told) + bool(self._version_left)

    def add(self, address: str) -> None:
        """Queue an update about a member; its count of sends starts at 0."""
        self._told[address] = 0

    def add_version(self, tellings: int) -> None:
        """Keep datagrams going for a new version, which each one carries."""
        self._version_left = tellings

    def pick(
        self,
        members: dict[str, Member],
        tellings: int,
    ) -> Sequence[Member]:
        """Return the least-sent updates that fit a datagram; count the send."""
        self._version_left = max(0, self._version_left - 1)
        picked: list[Member] = []
        room_bytes = _MOST_NEWS_BYTES
        for address in heapq.nsmallest(
            _MOST_ITEMS, self._told, self._told.__getitem__
        ):
            member = members.get(address)
            if member is not None:
                room_bytes -= len(msgspec.json.encode(member)) + 1
                if room_bytes < 0:
                    break
                picked.append(member)
            self._count(address, tellings)
        return picked

    def _count(self, address: str, tellings: int) -> None:
        told = self._told[address] + 1
        if told >= tellings:
            self._told.pop(address)
        else:
            self._told[address] = told
