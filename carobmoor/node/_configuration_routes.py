"""Control paths on which operators read and change the configuration."""

import time
import uuid
from typing import Any, Final, NotRequired, TypedDict

import msgspec
from blacksheep import Application, Request, Response
from result import Err, Ok, Result

from carobmoor.configuration import (
    Conflict,
    Document,
    OutcomeUnknown,
    PublishedVersion,
    Snapshot,
    Submission,
    build_change,
    load_document,
    load_version,
    publish,
    read_head,
    read_history,
    validate_document,
)
from carobmoor.decoding import decode_json
from carobmoor.node._operator_scope import refuse_out_of_scope
from carobmoor.node._responses import (
    OK,
    authenticate_operator,
    faults_response,
    json_response,
    not_run_response,
    outcome_unknown_response,
    unauthorised_response,
)
from carobmoor.node._state import NodeState
from carobmoor.operators import Operator
from carobmoor.outcomes import Code

_PATH: Final = '/_carobmoor/configuration'
_MAX_SHOWN_DIFFERENCES: Final = 20


class SubmissionBody(TypedDict):
    """Body of a request that submits a configuration."""

    base_version: NotRequired[int]
    reason: NotRequired[str]
    # Either the new document or the earlier version to roll back to.
    document: NotRequired[Any]
    rollback_to: NotRequired[int]
    # A submission that is sent again with the same id is accepted once.
    submission_id: NotRequired[str]
    # Check the document without publishing it.
    validate_only: NotRequired[bool]


def add_configuration_routes(app: Application, node: NodeState) -> None:
    """Add the routes that read and change the configuration."""

    async def get_configuration() -> Response:
        return await _full_document_response(node)

    async def get_held() -> Response:
        accepted = node.configuration.accepted
        if accepted is None:
            return not_run_response(
                node, Code.NOT_READY, 'node has no configuration yet'
            )
        return json_response(OK, accepted._asdict())

    async def history() -> Response:
        read = await read_history(node.store)
        if isinstance(read, Err):
            return not_run_response(
                node, Code.STORE_UNAVAILABLE, str(read.err_value)
            )
        return json_response(OK, [head._asdict() for head in read.ok_value])

    async def put_configuration(request: Request) -> Response:
        operator = authenticate_operator(node, request)
        if operator is None:
            return unauthorised_response(node)
        return await _handle_submission(
            node, operator, await request.read() or b''
        )

    app.router.add_get(_PATH, get_configuration)
    app.router.add_get(f'{_PATH}/held', get_held)
    app.router.add_get(f'{_PATH}/history', history)
    app.router.add_put(_PATH, put_configuration)


async def _full_document_response(node: NodeState) -> Response:
    """Return the newest document from the store; nodes hold only parts."""
    read = await read_head(node.store)
    if isinstance(read, Err):
        return not_run_response(
            node, Code.STORE_UNAVAILABLE, str(read.err_value)
        )
    head = read.ok_value.head
    if head is None:
        return not_run_response(
            node, Code.NOT_READY, 'no configuration published yet'
        )
    loaded = await load_document(node.store, head)
    if isinstance(loaded, Err):
        return not_run_response(
            node, Code.STORE_UNAVAILABLE, str(loaded.err_value)
        )
    return json_response(
        OK,
        {'head': head._asdict(), 'document': loaded.ok_value},
    )


async def _handle_submission(
    node: NodeState, operator: Operator, body: bytes
) -> Response:
    try:
        submitted = decode_json(body, SubmissionBody)
    except (msgspec.DecodeError, RecursionError) as error:
        return not_run_response(node, Code.BAD_REQUEST, str(error))
    submitted_document = await _submitted_document(node, submitted)
    if isinstance(submitted_document, Err):
        return submitted_document.err_value
    checked = validate_document(submitted_document.ok_value)
    if isinstance(checked, Err):
        return faults_response(checked.err_value)
    if submitted.get('validate_only', False):
        return json_response(OK, {'faults': []})
    return await _publish(node, submitted, operator, checked.ok_value)


async def _submitted_document(
    node: NodeState,
    submitted: SubmissionBody,
) -> Result[Any, Response]:
    if 'rollback_to' not in submitted:
        return Ok(submitted.get('document'))
    version = submitted['rollback_to']
    loaded = await load_version(node.store, version)
    if isinstance(loaded, Err):
        detail = str(loaded.err_value)
        return Err(not_run_response(node, Code.STORE_UNAVAILABLE, detail))
    if loaded.ok_value is None:
        return Err(
            not_run_response(
                node, Code.NOT_FOUND, f'no configuration version {version}'
            )
        )
    return Ok(loaded.ok_value)


async def _publish(
    node: NodeState,
    submitted: SubmissionBody,
    operator: Operator,
    document: Document,
) -> Response:
    if 'base_version' not in submitted or 'reason' not in submitted:
        detail = 'base_version and reason are required'
        return not_run_response(node, Code.BAD_REQUEST, detail)
    base_version = submitted['base_version']
    refused = await refuse_out_of_scope(node, operator, base_version, document)
    if refused is not None:
        return refused
    published = await publish(
        node.store,
        Submission(
            document,
            base_version,
            operator.name,
            submitted['reason'],
            submitted.get('submission_id') or uuid.uuid4().hex,
            int(time.time()),
        ),
    )
    if isinstance(published, Err):
        return _publish_failure_response(node, published.err_value)
    _put_in_force(node, published.ok_value)
    return json_response(OK, published.ok_value.head._asdict())


def _put_in_force(node: NodeState, published: PublishedVersion) -> None:
    """Put a published version in force here; it spreads to other nodes."""
    head, pieces, changed = published
    change = build_change(
        head,
        pieces.manifest,
        changed,
        pieces.texts,
        node.address,
    )
    snapshot = Snapshot(head, pieces.manifest)
    node.configuration.apply_published(snapshot, change, pieces.texts)


def _publish_failure_response(node: NodeState, failure: Any) -> Response:
    if isinstance(failure, Conflict):
        return not_run_response(node, Code.CONFLICT, _conflict_detail(failure))
    if isinstance(failure, OutcomeUnknown):
        return outcome_unknown_response(
            failure.failure.step,
            failure.failure.peer,
            f'submit again with submission id {failure.submission_id} to find '
            'out whether it was accepted',
        )
    return not_run_response(node, Code.STORE_UNAVAILABLE, str(failure))


def _conflict_detail(conflict: Conflict) -> str:
    if conflict.current is None:
        return 'no version has been published yet; submit with base version 0'
    head = conflict.current
    lines = [str(each) for each in conflict.differences]
    shown = '; '.join(lines[:_MAX_SHOWN_DIFFERENCES])
    hidden = len(lines) - _MAX_SHOWN_DIFFERENCES
    more = f'; and {hidden} more' if hidden > 0 else ''
    return (
        f'version {head.version} by {head.operator} is current; '
        f'changes since your base version: {shown}{more}'
    )
