"""The platform's notation of times, versions and addresses."""

import re
from typing import Final

from carobmoor.transport import Address, parse_address

_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_VERSION: Final = re.compile(r'r(\d+)')
_MS_PER_S: Final = 1000


def read_duration_ms(text: object) -> float:
    """Read a time such as `1500ms` or `2.5s`, in milliseconds.

    Raises `ValueError` for anything else.
    """
    matched = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if matched is None:
        raise ValueError(f'{text!r} is no time with its unit')
    factor = 1 if matched[2] == 'ms' else _MS_PER_S
    return float(matched[1]) * factor


def read_version(text: object) -> int:
    """Read a configuration version such as `r12`.

    Raises `ValueError` for anything else.
    """
    matched = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if matched is None:
        raise ValueError(f'{text!r} is no version')
    return int(matched[1])


def read_address(text: str) -> Address:
    """Read `ip:port`; raises `ValueError` for anything else."""
    address = parse_address(text)
    if not address.ip:
        raise ValueError(f'{text!r} is no address')
    return address
