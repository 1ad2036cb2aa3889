"""Checks that the requests of operators are within their scope."""

from collections.abc import Mapping
from typing import Any, Final

from blacksheep import Request, Response
from result import Err, Ok, Result

from carobmoor.configuration import Document, load_version
from carobmoor.node._responses import (
    authenticate_operator,
    not_run_response,
    unauthorised_response,
)
from carobmoor.node._state import NodeState
from carobmoor.operators import Operator, changes_out_of_scope, is_in_scope
from carobmoor.outcomes import Code
from carobmoor.store import StoreFailure

_TEAM: Final = 'team'


async def refuse_out_of_scope(
    node: NodeState,
    operator: Operator,
    base_version: int,
    document: Document,
) -> Response | None:
    """Refuse a document with changes outside the operator's scope.

    It is compared with the version that it is based on. Publishing fails if
    another version is current by then, so no unchecked change gets through.
    """
    if operator.has_unlimited_scope:
        return None
    before = await _load_content(node, base_version)
    if isinstance(before, Err):
        return not_run_response(
            node, Code.STORE_UNAVAILABLE, str(before.err_value)
        )
    out_of_scope = changes_out_of_scope(operator, before.ok_value, {**document})
    if not out_of_scope:
        return None
    detail = f'not in the scope of {operator.name}: {", ".join(out_of_scope)}'
    return not_run_response(node, Code.FORBIDDEN, detail)


def authorise_operator(
    node: NodeState,
    request: Request,
) -> Result[Operator, Response]:
    """Return the operator if they may operate this service, else a refusal."""
    operator = authenticate_operator(node, request)
    if operator is None:
        return Err(unauthorised_response(node))
    team = ''
    accepted = node.configuration.accepted
    if accepted is not None:
        service_document = accepted.document['services'].get(node.service)
        team = '' if service_document is None else service_document[_TEAM]
    if is_in_scope(operator, node.service, team):
        return Ok(operator)
    detail = f'{node.service} is not in the scope of {operator.name}'
    return Err(not_run_response(node, Code.FORBIDDEN, detail))


async def _load_content(
    node: NodeState,
    version: int,
) -> Result[Mapping[str, Any], StoreFailure]:
    if not version:
        return Ok({})
    loaded = await load_version(node.store, version)
    return loaded.map(lambda document: {**(document or {})})
