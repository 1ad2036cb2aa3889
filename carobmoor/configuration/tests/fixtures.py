"""Documents, submissions, and followers that call each other in memory."""

import random
from typing import Any
from unittest import mock

from carobmoor.configuration import _publish as publishing
from carobmoor.configuration._collect import PeerAccess, handle_pieces_request
from carobmoor.configuration._document import Document
from carobmoor.configuration._follow import (
    MISSED_VERSIONS_TARGET,
    Follower,
    ReportingNode,
    handle_since_request,
)
from carobmoor.configuration._state import ConfigurationState
from carobmoor.telemetry import configure_logs

configure_logs('critical')


def document(slots: int = 9) -> Document:
    """Make a document of two services; `slots` distinguishes versions."""
    rank = {
        'name': 'booking',
        'target_latency_ms': 100,
        'worth': 1.0,
        'guaranteed_share': 0.5,
    }
    bookings = {'team': 'hire', 'slots': slots}
    media = {'team': 'hire', 'slots': 4}
    return {
        'ranks': [rank],
        'services': {'bookings': bookings, 'media': media},
    }


def submission(
    base: int,
    submission_id: str,
    slots: int = 9,
) -> publishing.Submission:
    """Make a submission of `document(slots)`."""
    return publishing.Submission(
        document(slots), base, 'op', 'test', submission_id
    )


def without_read_back_waits() -> Any:
    """Patch out the waits between attempts to read back a write."""
    return mock.patch.object(publishing, '_READ_BACK_WAIT_S', 0)


class Nodes:
    """Followers that call each other in memory.

    The nodes in `unreachable` do not answer; those in `pollers` poll the store.
    """

    def __init__(self, store: Any, count: int, zones: int = 2) -> None:
        """Make `count` followers in `zones` zones; none has a version yet."""
        self.followers: dict[str, Follower] = {}
        self.zones = {str(number): number % zones for number in range(count)}
        self.pollers: set[str] = set()
        self.unreachable: set[str] = set()
        for number in range(count):
            name = str(number)
            state = ConfigurationState(lambda accepted: None, 'bookings')
            self.followers[name] = Follower(
                store,
                state,
                self._make_peer_access(name),
                random.Random(number),
            )

    def report_version(self, sender: str, receiver: str) -> None:
        """Deliver the version of one node to another."""
        zone = str(self.zones[sender])
        version = self.followers[sender].version
        self.followers[receiver].record_peer_version(
            ReportingNode(sender, zone), version
        )

    def _make_peer_access(self, name: str) -> PeerAccess:
        async def post(address: str, target: str, body: bytes):
            if address in self.unreachable:
                return None
            state = self.followers[address].state
            if target == MISSED_VERSIONS_TARGET:
                return handle_since_request(state, body)
            return handle_pieces_request(state, body)

        return PeerAccess(
            post,
            lambda service: [each for each in self.followers if each != name],
            lambda: name in self.pollers,
            lambda: len(self.followers) - 1,
            lambda: len(set(self.zones.values())),
        )
