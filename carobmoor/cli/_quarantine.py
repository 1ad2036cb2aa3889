"""The commands for requests that crash backend servers."""

from typing import Final

from carobmoor.cli._admin import request_node
from carobmoor.cli._output import print_json

_QUARANTINE: Final = '/_carobmoor/quarantine'


class QuarantineCommands:
    """List and clear what is held against requests."""

    def list(self, node: str) -> None:
        """Print the marked and the quarantined requests that a node knows.

        Args:
            node: A node of the service as IP:PORT.
        """
        print_json(request_node(node, 'GET', _QUARANTINE).body)

    def clear(self, fingerprint: str, node: str) -> None:
        """Clear what is held against a request, at all nodes of its service.

        Args:
            fingerprint: The fingerprint as `list` prints it.
            node: A node of the service as IP:PORT.
        """
        target = f'{_QUARANTINE}/{fingerprint}'
        print_json(request_node(node, 'DELETE', target).body)
