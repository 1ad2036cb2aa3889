"""The commands that talk to a running node."""

import asyncio
import difflib
import sys
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err

from carobmoor.cli._environment import tls_of_environment, token_headers
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
_FIRST_FAILED_STATUS: Final = 400
_CONFIGURATION: Final = '/_carobmoor/configuration'
_GET: Final = 'GET'
_EXIT_NOT_RUN: Final = 3
_EXIT_UNKNOWN: Final = 4


class ConfigCommands:
    """Read and change the configuration through any node."""

    def get(self, node: str) -> None:
        """Print the configuration in force at a node.

        Args:
            node: A node's address as IP:PORT.
        """
        print_json(request_node(node, _GET, _CONFIGURATION).body)

    def put(
        self,
        path: str,
        node: str,
        base: int,
        reason: str,
        submission_id: str = '',
    ) -> None:
        """Make a document the next version.

        Args:
            path: The configuration document, JSON with comments.
            node: A node's address as IP:PORT.
            base: The version that the change was made on; 0 for the first.
            reason: Why, for the history.
            submission_id: The id of an earlier try whose outcome is unknown.
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
        """Make the content of an earlier version the next version.

        Args:
            to: The earlier version.
            node: A node's address as IP:PORT.
            base: The version in force, as you have read it.
            reason: Why, for the history.
            submission_id: The id of an earlier try whose outcome is unknown.
        """
        submission = {
            'base_version': base,
            'reason': reason,
            'rollback_to': to,
            'submission_id': submission_id or uuid.uuid4().hex,
        }
        _submit(node, submission)

    def validate(self, path: str, node: str) -> None:
        """Check a document as a node would, and change nothing.

        Args:
            path: The configuration document, JSON with comments.
            node: A node's address as IP:PORT.
        """
        submission = {'document': _read_document(path), 'validate_only': True}
        _submit(node, submission)

    def diff(self, path: str, node: str) -> None:
        """Print how a document differs from the one in force.

        Args:
            path: The configuration document, JSON with comments.
            node: A node's address as IP:PORT.
        """
        answered = request_node(node, _GET, _CONFIGURATION)
        current = answered.decode(dict[str, Any])['document']
        lines = difflib.unified_diff(
            _pretty(current),
            _pretty(_read_document(path)),
            'in force',
            path,
            lineterm='',
        )
        sys.stdout.write(''.join(f'{line}\n' for line in lines))

    def history(self, node: str) -> None:
        """Print the accepted versions, with who and why.

        Args:
            node: A node's address as IP:PORT.
        """
        print_json(request_node(node, _GET, f'{_CONFIGURATION}/history').body)


def status(node: str) -> None:
    """Print the state of a node.

    Args:
        node: A node's address as IP:PORT.
    """
    print_json(request_node(node, _GET, '/_carobmoor/status').body)


def drain(node: str, undo: bool = False, keep: bool = False) -> None:
    """Make a node leave gracefully.

    Args:
        node: A node's address as IP:PORT.
        undo: Take work again, while the node has not stopped.
        keep: Refuse new work but keep the process until SIGTERM.
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
    """Send one request through the library and print its answer.

    Args:
        service: The service to call.
        target: The path, with a query if any.
        node: Any node's address as IP:PORT.
        method: The HTTP method.
        body: The body of the request.
        rank: The rank of the request; the least urgent by default.
        timeout_ms: The deadline.
    """
    wanted = Call(
        service,
        method,
        target,
        str(body).encode(),
        rank=rank,
        timeout_ms=timeout_ms,
        request_id=uuid.uuid4().hex,
        repeatable=method == _GET,
    )
    asyncio.run(_call(wanted, node))


async def _call(wanted: Call, node: str) -> None:
    client = Client((node,), 'command-line', tls=tls_of_environment())
    async with client:
        called = await client.call(wanted)
    if isinstance(called, Err):
        failure = called.err_value
        unknown = failure.code == 'outcome_unknown'
        outcome = 'unknown' if unknown else 'not run'
        fail(
            f'{outcome}: {failure.code} at step {failure.step}, '
            f'peer {failure.peer}, request {wanted.request_id}. '
            f'{failure.detail}',
            _EXIT_UNKNOWN if unknown else _EXIT_NOT_RUN,
        )
    answer = called.ok_value
    sys.stdout.write(
        f'{answer.status} from {answer.owner}, request {answer.request_id}\n'
    )
    sys.stdout.flush()
    sys.stdout.buffer.write(b'%b\n' % answer.body)


def _submit(node: str, submission: Mapping[str, Any]) -> None:
    """Send a submission; a lost answer is told with its id."""
    submission_id = submission.get('submission_id')
    if submission_id is not None:
        sys.stderr.write(f'submission id {submission_id}\n')
    body = msgspec.json.encode(submission)
    print_json(request_node(node, 'PUT', _CONFIGURATION, body).body)


def request_node(
    node: str,
    method: str,
    target: str,
    body: bytes = b'',
) -> JsonAnswer:
    """Send one control request; prints why and exits when it fails."""
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
        fail(f'{node} is no address; give it as IP:PORT')
    request = OutgoingRequest(method, target, token_headers(), body)
    pool = ConnectionPool(tls_of_environment())
    called = await request_json(pool, address, request, _TIMEOUT_S)
    pool.close()
    if isinstance(called, Err):
        failure = called.err_value
        fail(f'{failure.peer}: {failure.reason} (step {failure.step})')
    answer = called.ok_value
    if answer.head.status >= _FIRST_FAILED_STATUS:
        fail(f'{node} refused: {answer.body.decode()}')
    return answer


def _read_document(path: str) -> Document:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        fail(f'{path}: {error.strerror}')
    checked = parse_commented_json(text).and_then(validate_document)
    if isinstance(checked, Err):
        exit_with_faults(checked.err_value)
    return checked.ok_value


def _pretty(document: Any) -> list[str]:
    encoded = msgspec.json.encode(document, order='deterministic')
    return msgspec.json.format(encoded, indent=2).decode().splitlines()
