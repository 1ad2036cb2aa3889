"""Updates that are still to be sent, each a bounded number of times."""

import heapq
import math
from collections.abc import Sequence
from typing import Final

import msgspec

from carobmoor.membership._messages import Member

# Leaves room for the datagram's other fields below the usual path MTU.
_MAX_UPDATE_BYTES: Final = 1100
_MAX_UPDATES: Final = 16
_EXTRA_SENDS: Final = 3


def max_sends_for(member_count: int) -> int:
    """Return how often one node sends one update.

    If every node sends an update n times, a share of about `exp(-n)` of the
    nodes never receives it; anti-entropy brings it to those.
    """
    return _EXTRA_SENDS + math.ceil(math.log(member_count + 1))


class UpdateQueue:
    """Addresses of members with updates to send, and their sends so far."""

    def __init__(self) -> None:
        """Start without updates."""
        self._send_counts: dict[str, int] = {}
        self._remaining_version_datagrams = 0

    def __len__(self) -> int:
        """Return the number of updates still to be sent."""
        return len(self._send_counts) + bool(self._remaining_version_datagrams)

    def add(self, address: str) -> None:
        """Queue an update about a member; its count of sends starts at 0."""
        self._send_counts[address] = 0

    def add_version(self, datagram_count: int) -> None:
        """Cause this many datagrams, each of which carries the new version."""
        self._remaining_version_datagrams = datagram_count

    def pick(
        self,
        members: dict[str, Member],
        max_sends: int,
    ) -> Sequence[Member]:
        """Return the least-sent updates that fit a datagram; count the send."""
        self._remaining_version_datagrams = max(
            0, self._remaining_version_datagrams - 1
        )
        picked: list[Member] = []
        remaining_bytes = _MAX_UPDATE_BYTES
        for address in heapq.nsmallest(
            _MAX_UPDATES, self._send_counts, self._send_counts.__getitem__
        ):
            member = members.get(address)
            if member is not None:
                remaining_bytes -= len(msgspec.json.encode(member)) + 1
                if remaining_bytes < 0:
                    break
                picked.append(member)
            self._count_send(address, max_sends)
        return picked

    def _count_send(self, address: str, max_sends: int) -> None:
        sends = self._send_counts[address] + 1
        if sends >= max_sends:
            self._send_counts.pop(address)
        else:
            self._send_counts[address] = sends
