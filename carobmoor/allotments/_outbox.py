"""Messages that a node sends about allotments."""

import itertools
from collections.abc import Callable

from carobmoor.allotments._messages import Message

Send = Callable[[str, Message], None]


class Outbox:
    """Sends messages to nodes by their IP address, and numbers the asks."""

    def __init__(self, send: Send) -> None:
        """Start with the first number."""
        self.send = send
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return a number that no earlier ask of this process has."""
        return next(self._numbers)
