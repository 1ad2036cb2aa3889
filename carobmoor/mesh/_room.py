"""How much of a backend server is used at once."""

from typing import Final

# Servers slow down when they are nearly full, which costs more throughput
# than the last slots bring.
_USED_SHARE: Final = 0.8


def room_of(slots: int) -> int:
    """Give how many requests a server of so many slots gets at once."""
    return max(1, int(slots * _USED_SHARE))
