"""Checks the key of a caller's request, and replaces it by its team."""

import enum
import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh._freshness_keeper import key_valid_s, policy_of
from carobmoor.mesh._pending_request import PendingRequest, discard_body
from carobmoor.mesh._responses import (
    request_id_of,
    respond,
    respond_unavailable,
)
from carobmoor.mesh._state import MeshNode
from carobmoor.routes import Route, RouteTable
from carobmoor.teams import Team
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest

_AUTHORIZATION: Final = b'authorization'
_SCHEME: Final = b'bearer'
_CHALLENGE: Final = (b'www-authenticate', b'Bearer')
_MS_PER_S: Final = 1000
_log = logger_for('keys')


class KeyFault(enum.StrEnum):
    """Why a request is refused for its key."""

    ABSENT = 'absent'
    # Another scheme, or several headers.
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'
    # Unknown here, but a newer configuration that may have it is on its way.
    NOT_YET_KNOWN = 'not_yet_known'
    # The configuration in force here is not proven to be the newest.
    NOT_PROVEN = 'not_proven'


# Faults of this node's knowledge, not of the key: the request did not run.
_UNCERTAIN: Final = frozenset((KeyFault.NOT_YET_KNOWN, KeyFault.NOT_PROVEN))


def find_team(
    node: MeshNode, route: Route, request: IncomingRequest
) -> Result[Team | None, KeyFault]:
    """Return the team of a request's key; `None` for anonymous callers.

    A key is checked wherever one is sent, also on routes that need none.
    """
    table = node.table
    if table is None or not table.teams:
        return Ok(None)
    credentials = [
        content for name, content in request.headers if name == _AUTHORIZATION
    ]
    if credentials:
        return _find_holder(node, table, credentials)
    return Ok(None) if route.allows_anonymous else Err(KeyFault.ABSENT)


def _find_holder(
    node: MeshNode, table: RouteTable, credentials: Sequence[bytes]
) -> Result[Team | None, KeyFault]:
    key = _key_in(credentials)
    if key is None:
        return Err(KeyFault.MALFORMED)
    if key_valid_s(node) < 0:
        return Err(KeyFault.NOT_PROVEN)
    team = table.teams.find(key)
    if team is not None:
        return Ok(team)
    return Err(
        KeyFault.NOT_YET_KNOWN
        if _expects_newer_table(node)
        else KeyFault.UNKNOWN
    )


async def refuse_key(
    node: MeshNode, request: IncomingRequest, route: Route, fault: KeyFault
) -> None:
    """Answer a request that is refused for its key."""
    await discard_body(request)
    node.metrics.cluster.refused_keys.labels(fault.value).inc()
    _log.info(
        'Key refused.',
        request_id=request_id_of(node, request),
        route=route.name,
        version=node.version,
        reason=fault.value,
    )
    if fault in _UNCERTAIN:
        respond_unavailable(node, request)
    else:
        respond(node, request, HTTPStatus.UNAUTHORIZED, (_CHALLENGE,))


def remaining_validity_ms(
    node: MeshNode, pending: PendingRequest
) -> float | None:
    """Return how long a request may still be started by its key.

    `None` if that is not limited. Checks the key once more, since a newer
    configuration may have taken it away.
    """
    if pending.team is None or policy_of(node) is None:
        return None
    found = find_team(node, pending.route, pending.request)
    if isinstance(found, Err) or found.ok_value is None:
        return 0
    return key_valid_s(node) * _MS_PER_S


def replace_credentials(
    node: MeshNode,
    pending: PendingRequest,
    headers: Iterable[tuple[bytes, bytes]],
) -> Sequence[tuple[bytes, bytes]]:
    """Return the headers with the team's name instead of the caller's key.

    Without teams in the configuration, they stay as they are.
    """
    table = node.table
    team = pending.team
    if team is None and (table is None or not table.teams):
        return tuple(headers)
    removed = (_AUTHORIZATION, node.names.team)
    kept = [
        header
        for header in headers
        # Some servers read an underscore in a name as a hyphen.
        if header[0].replace(b'_', b'-') not in removed
    ]
    if team is not None:
        kept.append((node.names.team, team.name.encode()))
    return kept


def _key_in(credentials: Sequence[bytes]) -> str | None:
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(b' ')
    if scheme.lower() != _SCHEME:
        return None
    return key.strip().decode('utf-8', 'surrogateescape')


def _expects_newer_table(node: MeshNode) -> bool:
    """Return whether another node has just reported a newer configuration."""
    newest = node.peers.newest_report
    age_s = time.monotonic() - newest.reported_at_s
    return (
        newest.version > node.version
        and age_s * _MS_PER_S < node.settings.bounds.configuration_ms
    )
