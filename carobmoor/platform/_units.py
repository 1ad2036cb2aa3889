"""Parsing of the platform's notation of durations, versions, addresses."""

import re
from typing import Final

from carobmoor.transport import Address, parse_address

_DURATION: Final = re.compile(r'([0-9]{1,15}(?:\.[0-9]{1,15})?)(ms|s)')
_VERSION: Final = re.compile(r'r([0-9]{1,18})')
_MS_PER_S: Final = 1000


def parse_duration_ms(text: object) -> float:
    """Parse a duration such as `1500ms` or `2.5s` into milliseconds.

    Raises `ValueError` for anything else.
    """
    matched = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if matched is None:
        raise ValueError(f'{text!r} is not a duration such as 1500ms or 2.5s')
    factor = 1 if matched[2] == 'ms' else _MS_PER_S
    return float(matched[1]) * factor


def parse_version(text: object) -> int:
    """Parse a configuration version such as `r12`.

    Raises `ValueError` for anything else.
    """
    matched = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if matched is None:
        raise ValueError(f'{text!r} is not a version such as r12')
    return int(matched[1])


def parse_ip_port(text: str) -> Address:
    """Parse `ip:port`; raises `ValueError` for anything else."""
    address = parse_address(text)
    if not address.ip:
        raise ValueError(f'{text!r} is not an address of the form ip:port')
    return address
