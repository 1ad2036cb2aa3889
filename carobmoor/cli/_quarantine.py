"""Commands for requests that crash backend servers."""

from typing import Final

from carobmoor.cli._admin import request_node
from carobmoor.cli._output import print_json

_QUARANTINE_PATH: Final = '/_carobmoor/quarantine'


class QuarantineCommands:
    """List and clear marked and quarantined requests."""

    def list(self, node: str) -> None:
        """Print the marked and quarantined requests that a node knows.

        Args:
            node: Address of a node of the service as IP:PORT.
        """
        print_json(request_node(node, 'GET', _QUARANTINE_PATH).body)

    def clear(self, fingerprint: str, node: str) -> None:
        """Clear a request's marks and quarantine at all nodes of its service.

        Args:
            fingerprint: Fingerprint of the request, as `list` prints it.
            node: Address of a node of the service as IP:PORT.
        """
        target = f'{_QUARANTINE_PATH}/{fingerprint}'
        print_json(request_node(node, 'DELETE', target).body)
