"""Names that the platform defines: headers, paths, keys and variables."""

from typing import Final

from carobmoor.mesh import HeaderNames

HEADERS: Final = HeaderNames(
    request_id=b'x-carobmoor-request-id',
    deadline_ms=b'x-carobmoor-deadline-ms',
    # Set by the backend server on every answer that it generated itself.
    signature=b'x-carobmoor-response-signature',
    expected_instance=b'x-carobmoor-expected-instance',
    # "running,waiting,slots", optionally followed by the slowdown in percent.
    load=b'x-carobmoor-server-load',
    not_run=b'x-carobmoor-not-executed',
    caller_service=b'x-carobmoor-caller-service',
    # Requests a second, from all nodes together.
    rate_limit=b'server-limit',
    # "1" on every answer of a backend server that leaves.
    leaving=b'server-leaving',
    team=b'x-carobmoor-tenant-id',
    # How much longer a server is cold, on answers to health checks.
    cold_ms=b'x-carobmoor-cold-ms',
)
READY_PATH: Final = '/v1/ready'
INSTANCES_PATH: Final = '/v1/instances/'
HEARTBEAT: Final = 'heartbeat'
DEREGISTER: Final = 'deregister'
OPERATOR_TABLE: Final = 'op'
CONFIG_KEY: Final = 'config'
# Followed by the zone.
EVACUATION_PREFIX: Final = 'evacuate/'
SETTINGS_VARIABLE: Final = 'CAROBMOOR_CONFIG'
DEFAULT_SETTINGS_PATH: Final = '/etc/carobmoor/node.conf'
