"""Finding the team of a key."""

import hashlib
import secrets
from collections.abc import Iterable, Mapping
from typing import Final

from carobmoor.teams._messages import Team, TeamKeys

_SALT_BYTES: Final = 16
_DIGEST_BYTES: Final = 16
# Drawn at each start, so that digests of different processes differ.
_SALT: Final = secrets.token_bytes(_SALT_BYTES)


class TeamDirectory:
    """The teams of one version of the configuration, by name and by key.

    Holds digests of the keys only. Raises `ValueError` if a key is empty or
    belongs to two teams.
    """

    def __init__(self, teams: Iterable[TeamKeys]) -> None:
        """Index the teams."""
        self._by_name: dict[str, Team] = {}
        self._by_digest: dict[bytes, Team] = {}
        self._longest_key = 0
        for declared in teams:
            self._add(declared)
        rates_per_s = [
            team.rate_per_s
            for team in self._by_name.values()
            if team.rate_per_s
        ]
        # Mean rate of the teams that have an allotment; 0 if none has.
        self.mean_rate_per_s = sum(rates_per_s) / max(1, len(rates_per_s))

    def __bool__(self) -> bool:
        """Return whether there are teams, so that callers need keys."""
        return bool(self._by_name)

    @property
    def by_name(self) -> Mapping[str, Team]:
        """The teams by their names."""
        return self._by_name

    def find(self, key: str) -> Team | None:
        """Return the team that holds a key, or `None`.

        Costs the same for any number of keys, and little for a huge one.
        """
        if len(key) > self._longest_key:
            return None
        return self._by_digest.get(_digest(key))

    def _add(self, declared: TeamKeys) -> None:
        team = declared.team
        if team.name in self._by_name:
            raise ValueError(f'team {team.name!r} is declared twice')
        self._by_name[team.name] = team
        for key in declared.keys:
            if not key:
                raise ValueError(f'team {team.name!r} has an empty key')
            self._longest_key = max(self._longest_key, len(key))
            holder = self._by_digest.setdefault(_digest(key), team)
            if holder is not team:
                raise ValueError(
                    f'teams {holder.name!r} and {team.name!r} share a key'
                )


def _digest(key: str) -> bytes:
    content = key.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(
        content, digest_size=_DIGEST_BYTES, key=_SALT
    ).digest()
