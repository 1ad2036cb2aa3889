"""What the connections of a process hold together, and who may hold more.

The load that it answers is many stalled bodies: callers that send much, stop
short of the end and stay. Each alone is within its limits. So a connection may
hold only a share of what is still free, the dynamic threshold of
shared-memory switches (Choudhury and Hahne, 1998): the more the others hold,
the less one may add, and small requests always find room.
"""

from typing import Final, NamedTuple

# What a connection may hold, as a share of what is free.
_SHARE_OF_FREE: Final = 0.0625
# What it may hold however little is free, enough for an ordinary request.
MIN_ALLOWANCE_BYTES: Final = 16_384
# Less than this share free counts as pressure.
_PRESSURE_SHARE: Final = 0.25
# Of the instance's memory. The rest is for the process itself and for what
# the allocator can't return.
_MEMORY_SHARE: Final = 0.125
# Of a header field, beside its text.
FIELD_OVERHEAD_BYTES: Final = 128
_BYTES_PER_MB: Final = 1_000_000
# Descriptors that an instance reserves for files.
_FILE_DESCRIPTORS: Final = 200
# Callers, other nodes and the connections to other nodes each get this share
# of the sockets, and each listener for the control of the node a small one.
_SOCKET_SHARE: Final = 0.3
_CONTROL_SHARE: Final = 0.03
_MIN_CONNECTIONS: Final = 8


class ProcessLimits(NamedTuple):
    """What all connections of a process together may take."""

    # Bytes of heads, bodies and answers that wait in the process.
    max_held_bytes: int = 67_108_864
    # Connections that a listener for requests accepts, and one for control; 0
    # if they are not limited.
    max_connections: int = 0
    max_control_connections: int = 0
    # Connections to other nodes that the process opens; 0 if not limited.
    max_calls: int = 0


def process_limits(memory_mb: float, max_descriptors: int) -> ProcessLimits:
    """Return the limits for what an instance grants; 0 where it has none.

    An eighth of its memory may be held, and a listener for requests accepts
    three tenths of its sockets:

        process_limits(200, 4100).max_held_bytes  # 25 MB
        process_limits(200, 4100).max_connections  # 1170
    """
    limits = ProcessLimits()
    if memory_mb:
        limits = limits._replace(
            max_held_bytes=int(memory_mb * _BYTES_PER_MB * _MEMORY_SHARE)
        )
    if max_descriptors:
        sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
        limits = limits._replace(
            max_connections=max(_MIN_CONNECTIONS, int(sockets * _SOCKET_SHARE)),
            max_calls=max(_MIN_CONNECTIONS, int(sockets * _SOCKET_SHARE)),
            max_control_connections=max(
                _MIN_CONNECTIONS, int(sockets * _CONTROL_SHARE)
            ),
        )
    return limits


class MemoryAccount:
    """The bytes that all connections of a process hold."""

    def __init__(self, limits: ProcessLimits | None = None) -> None:
        """Start with nothing held."""
        self.limits = ProcessLimits() if limits is None else limits
        self.held_bytes = 0
        # Connections that the process has opened.
        self.open_calls = 0

    @property
    def has_many_calls(self) -> bool:
        """Whether half of the connections that it may open are open."""
        most = self.limits.max_calls
        return bool(most) and self.open_calls * 2 > most

    @property
    def free_bytes(self) -> int:
        """What is not held; 0 if more than the limit is."""
        return max(0, self.limits.max_held_bytes - self.held_bytes)

    @property
    def allowance_bytes(self) -> int:
        """What one connection may hold now."""
        return max(MIN_ALLOWANCE_BYTES, int(self.free_bytes * _SHARE_OF_FREE))

    @property
    def is_pressed(self) -> bool:
        """Whether little is free."""
        return self.free_bytes < self.limits.max_held_bytes * _PRESSURE_SHARE


class AccountShare:
    """What one connection holds of an account."""

    def __init__(self, account: MemoryAccount) -> None:
        """Start with nothing held."""
        self.account = account
        self.held_bytes = 0

    def update(self, held_bytes: int) -> None:
        """Set what the connection holds."""
        self.account.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether the connection must not take more for now."""
        return self.held_bytes >= self.account.allowance_bytes
