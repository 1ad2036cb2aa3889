"""Commands that send requests to a running node."""

import asyncio
import difflib
import sys
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err

from carobmoor.cli._environment import (
    tls_context_from_environment,
    token_headers,
)
from carobmoor.cli._output import exit_with_faults, fail, print_json
from carobmoor.client import Call, Client
from carobmoor.configuration import (
    Document,
    parse_commented_json,
    validate_document,
)
from carobmoor.transport import (
    ConnectionPool,
    JsonAnswer,
    OutgoingRequest,
    parse_address,
    request_json,
)

_TIMEOUT_S: Final = 10
_MIN_ERROR_STATUS: Final = 400
_CONFIGURATION_PATH: Final = '/_carobmoor/configuration'
_GET: Final = 'GET'
_EXIT_NOT_RUN: Final = 3
_EXIT_OUTCOME_UNKNOWN: Final = 4


class ConfigCommands:
    """Read and change the configuration through any node."""

    def get(self, node: str) -> None:
        """Print the configuration in force at a node.

        Args:
            node: Address of the node as IP:PORT.
        """
        print_json(request_node(node, _GET, _CONFIGURATION_PATH).body)

    def put(
        self,
        path: str,
        node: str,
        base: int,
        reason: str,
        submission_id: str = '',
    ) -> None:
        """Publish a document as the next configuration version.

        Fails if `base` is no longer the current version. If the outcome is
        unknown, run the command again with the submission id that it printed;
        the change is accepted only once.

        Args:
            path: Configuration document, JSON with comments.
            node: Address of any node as IP:PORT.
            base: Version that the change is based on; 0 if there is none yet.
            reason: Why the change is made; kept in the version history.
            submission_id: Id of an earlier attempt whose outcome is unknown.
        """
        submission = {
            'base_version': base,
            'reason': reason,
            'document': _read_document(path),
            'submission_id': submission_id or uuid.uuid4().hex,
        }
        _submit(node, submission)

    def rollback(
        self,
        to: int,
        node: str,
        base: int,
        reason: str,
        submission_id: str = '',
    ) -> None:
        """Publish the content of an earlier version as the next version.

        Fails if `base` is no longer the current version. If the outcome is
        unknown, run the command again with the submission id that it printed;
        the change is accepted only once.

        Args:
            to: Version to restore.
            node: Address of any node as IP:PORT.
            base: Version in force, as last read.
            reason: Why the change is made; kept in the version history.
            submission_id: Id of an earlier attempt whose outcome is unknown.
        """
        submission = {
            'base_version': base,
            'reason': reason,
            'rollback_to': to,
            'submission_id': submission_id or uuid.uuid4().hex,
        }
        _submit(node, submission)

    def validate(self, path: str, node: str) -> None:
        """Validate a document at a node without publishing it.

        Args:
            path: Configuration document, JSON with comments.
            node: Address of any node as IP:PORT.
        """
        submission = {'document': _read_document(path), 'validate_only': True}
        _submit(node, submission)

    def diff(self, path: str, node: str) -> None:
        """Print how a document differs from the one in force at a node.

        Args:
            path: Configuration document, JSON with comments.
            node: Address of the node as IP:PORT.
        """
        in_force = request_node(node, _GET, _CONFIGURATION_PATH)
        current = in_force.decode(dict[str, Any])['document']
        lines = difflib.unified_diff(
            _format_lines(current),
            _format_lines(_read_document(path)),
            'in force',
            path,
            lineterm='',
        )
        sys.stdout.write(''.join(f'{line}\n' for line in lines))

    def history(self, node: str) -> None:
        """Print the accepted versions with their operators and reasons.

        Args:
            node: Address of any node as IP:PORT.
        """
        print_json(
            request_node(node, _GET, f'{_CONFIGURATION_PATH}/history').body
        )


def status(node: str) -> None:
    """Print the status of a node.

    Args:
        node: Address of the node as IP:PORT.
    """
    print_json(request_node(node, _GET, '/_carobmoor/status').body)


def drain(node: str, undo: bool = False, keep: bool = False) -> None:
    """Drain a node and stop it gracefully.

    Args:
        node: Address of the node as IP:PORT.
        undo: Accept requests again; possible until the node is stopping.
        keep: Refuse new requests but keep the process running until SIGTERM.
    """
    method = 'DELETE' if undo else 'POST'
    query = '?keep=1' if keep else ''
    print_json(request_node(node, method, f'/_carobmoor/drain{query}').body)


def call(
    service: str,
    target: str,
    node: str,
    method: str = _GET,
    body: str = '',
    rank: str = '',
    timeout_ms: int = 2000,
) -> None:
    """Send one request through the client library and print the answer.

    The exit code is 3 if the request was not run and 4 if its outcome is
    unknown.

    Args:
        service: Service to call.
        target: Path of the request, with the query string if any.
        node: Address of any node as IP:PORT.
        method: HTTP method.
        body: Body of the request.
        rank: Rank of the request; the least urgent by default.
        timeout_ms: Deadline in milliseconds from now.
    """
    outgoing_call = Call(
        service,
        method,
        target,
        str(body).encode(),
        rank=rank,
        timeout_ms=timeout_ms,
        request_id=uuid.uuid4().hex,
        repeatable=method == _GET,
    )
    asyncio.run(_send_call(outgoing_call, node))


async def _send_call(outgoing_call: Call, node: str) -> None:
    client = Client((node,), 'command-line', tls=tls_context_from_environment())
    async with client:
        call_result = await client.call(outgoing_call)
    if isinstance(call_result, Err):
        failure = call_result.err_value
        unknown = failure.code == 'outcome_unknown'
        outcome = 'unknown' if unknown else 'not run'
        fail(
            f'outcome {outcome}: {failure.code} at step {failure.step}, '
            f'peer {failure.peer}, request {outgoing_call.request_id}. '
            f'{failure.detail}',
            _EXIT_OUTCOME_UNKNOWN if unknown else _EXIT_NOT_RUN,
        )
    answer = call_result.ok_value
    sys.stdout.write(
        f'{answer.status} from {answer.owner}, request {answer.request_id}\n'
    )
    sys.stdout.flush()
    sys.stdout.buffer.write(b'%b\n' % answer.body)


def _submit(node: str, submission: Mapping[str, Any]) -> None:
    """Send a submission and print the answer.

    The submission id is printed first, so that the operator can submit again
    with the same id if the answer is lost.
    """
    submission_id = submission.get('submission_id')
    if submission_id is not None:
        sys.stderr.write(f'submission id {submission_id}\n')
    body = msgspec.json.encode(submission)
    print_json(request_node(node, 'PUT', _CONFIGURATION_PATH, body).body)


def request_node(
    node: str,
    method: str,
    target: str,
    body: bytes = b'',
) -> JsonAnswer:
    """Send one control request and return the answer.

    On failure, prints the reason to standard error and exits.
    """
    return asyncio.run(_request_once(node, method, target, body))


async def _request_once(
    node: str,
    method: str,
    target: str,
    body: bytes,
) -> JsonAnswer:
    try:
        address = parse_address(node)
    except ValueError:
        fail(f'invalid node address {node}: expected IP:PORT')
    request = OutgoingRequest(method, target, token_headers(), body)
    pool = ConnectionPool(tls_context_from_environment())
    reply = await request_json(pool, address, request, _TIMEOUT_S)
    pool.close()
    if isinstance(reply, Err):
        failure = reply.err_value
        fail(
            f'request to {failure.peer} failed: {failure.reason} '
            f'(step {failure.step})'
        )
    answer = reply.ok_value
    if answer.head.status >= _MIN_ERROR_STATUS:
        fail(f'{node} answered with an error: {answer.body.decode()}')
    return answer


def _read_document(path: str) -> Document:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        fail(f'cannot read {path}: {error.strerror}')
    checked = parse_commented_json(text).and_then(validate_document)
    if isinstance(checked, Err):
        exit_with_faults(checked.err_value)
    return checked.ok_value


def _format_lines(document: Any) -> list[str]:
    encoded = msgspec.json.encode(document, order='deterministic')
    return msgspec.json.format(encoded, indent=2).decode().splitlines()
