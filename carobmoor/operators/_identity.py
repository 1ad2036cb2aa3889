"""Operators and their authentication by token."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Final, NamedTuple

WILDCARD: Final = '*'
_BEARER: Final = 'Bearer '


class Operator(NamedTuple):
    """An operator and their scope; `*` in teams or services means all."""

    name: str
    # The SHA-256 digest of the token in hexadecimal; tokens are never kept.
    token_sha256: str
    teams: frozenset[str]
    services: frozenset[str]

    @property
    def has_unlimited_scope(self) -> bool:
        """Whether the scope is unlimited."""
        return WILDCARD in self.teams or WILDCARD in self.services


def authenticate(
    operators: Iterable[Operator],
    authorization: str,
) -> Operator | None:
    """Return the operator whose token an `Authorization` header carries.

    The token is compared with that of every operator, each in constant time,
    so that the time taken reveals nothing about a token.
    """
    if not authorization.startswith(_BEARER):
        return None
    token = authorization.removeprefix(_BEARER)
    digest = hashlib.sha256(token.encode()).hexdigest()
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.token_sha256, digest):
            found = operator
    return found
