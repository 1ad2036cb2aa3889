"""Documents, submissions, and followers that reach each other."""

import random
from typing import Any
from unittest import mock

from carobmoor.configuration import _publish as publishing
from carobmoor.configuration._collect import Fleet, answer_pieces
from carobmoor.configuration._document import Document
from carobmoor.configuration._follow import (
    SINCE_TARGET,
    Follower,
    Teller,
    answer_since,
)
from carobmoor.configuration._state import ConfigurationState
from carobmoor.telemetry import configure_logs

configure_logs('critical')


def document(slots: int = 9) -> Document:
    """Make a document of two services; `slots` tells versions apart."""
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
    """Make a submission."""
    return publishing.Submission(
        document(slots), base, 'op', 'test', submission_id
    )


def no_waits() -> Any:
    """Settle without waits between tries."""
    return mock.patch.object(publishing, '_SETTLE_WAIT_S', 0)


class Nodes:
    """Some followers that reach each other in memory."""

    def __init__(self, platform: Any, count: int, zones: int = 2) -> None:
        """Make followers, none of them started."""
        self.followers: dict[str, Follower] = {}
        self.zones = {str(number): number % zones for number in range(count)}
        self.pollers: set[str] = set()
        self.dead: set[str] = set()
        for number in range(count):
            name = str(number)
            state = ConfigurationState(lambda accepted: None, 'bookings')
            self.followers[name] = Follower(
                platform, state, self._fleet_of(name), random.Random(number)
            )

    def tell(self, sender: str, receiver: str) -> None:
        """Let one node hear the version of another."""
        zone = str(self.zones[sender])
        version = self.followers[sender].version
        self.followers[receiver].hear(Teller(sender, zone), version)

    def _fleet_of(self, name: str) -> Fleet:
        async def ask(address: str, target: str, body: bytes):
            if address in self.dead:
                return None
            state = self.followers[address].state
            if target == SINCE_TARGET:
                return answer_since(state, body)
            return answer_pieces(state, body)

        return Fleet(
            ask,
            lambda service: [each for each in self.followers if each != name],
            lambda: name in self.pollers,
            lambda: len(self.followers) - 1,
            lambda: len(set(self.zones.values())),
        )
