"""News that is still to be told, each piece a bounded number of times."""

import heapq
import math
from collections.abc import Sequence
from typing import Final

import msgspec

from carobmoor.membership._messages import Member

# Leaves room for the head of the datagram below the usual path MTU.
_MOST_NEWS_BYTES: Final = 1100
_MOST_ITEMS: Final = 16
_EXTRA_TELLINGS: Final = 3


def tellings_for(members: int) -> int:
    """How often one node tells one piece of news.

    Rumour theory leaves a share of about `exp(-tellings)` of the nodes
    without it; anti-entropy serves those.
    """
    return _EXTRA_TELLINGS + math.ceil(math.log(members + 1))


class NewsQueue:
    """The addresses of members of which there is news, and tellings so far."""

    def __init__(self) -> None:
        """Start without news."""
        self._told: dict[str, int] = {}
        self._version_left = 0

    def __len__(self) -> int:
        """Count the pieces of news still to be told."""
        return len(self._told) + bool(self._version_left)

    def add(self, address: str) -> None:
        """Tell of this member from now on, as often as new news deserves."""
        self._told[address] = 0

    def add_version(self, tellings: int) -> None:
        """Keep telling the configuration version, which every datagram has."""
        self._version_left = tellings

    def pick(
        self,
        members: dict[str, Member],
        tellings: int,
    ) -> Sequence[Member]:
        """Take what was told least, up to a datagram full, and count it."""
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
