"""Settings of a mesh node, and announcements of backend servers."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from carobmoor.transport import Address


class HeaderNames(NamedTuple):
    """Lower-case names of the headers used with callers and servers."""

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_instance: bytes
    load: bytes
    not_run: bytes
    caller_service: bytes
    rate_limit: bytes
    leaving: bytes
    # Name of the team whose key the caller sent.
    team: bytes
    # How much longer the server is cold, on answers to health checks.
    cold_ms: bytes


class MeshBounds(NamedTuple):
    """Limits of the deployment; the platform's settings may override each."""

    # Interval between two announcements of a backend server.
    heartbeat_ms: float = 1500
    # A stopping process is killed after this time.
    stop_ms: float = 6000
    # Resends to a service, as a share of its requests in a window, and how
    # many more are allowed, over all nodes together.
    retry_ratio: float = 0.2
    retry_slack: float = 50
    retry_window_ms: float = 10_000
    # Limit on health checks of one backend server.
    probes_per_s: float = 60
    # Time from the acknowledgement of a configuration until it is in force.
    configuration_ms: float = 2000
    # Time from the request to evacuate a zone until nothing is sent to it.
    evacuation_ms: float = 5000
    # Starts of a cold server in one second: its rate times the ratio, plus the
    # slack.
    cold_ratio: float = 1.5
    cold_slack: float = 8
    # Time from the removal of a key until nothing runs with it, on any node.
    # `None` if nodes without the store may go on with the keys they know.
    revocation_ms: float | None = None
    # Requests of a team in a window beyond its allotment: a share of it, and
    # how many more.
    allotment_window_ms: float = 5000
    allotment_ratio: float = 0.1
    allotment_slack: float = 20


class InstanceLimits(NamedTuple):
    """What the instance grants to the process; 0 where it is not limited."""

    memory_mb: float = 0
    max_descriptors: int = 0
    # Bandwidth of its network link, in each direction.
    link_mbit_per_s: float = 0


class MeshSettings(NamedTuple):
    """Settings of one mesh node, read at its start and on reload."""

    name: str
    ip: str
    availability_zone: str
    region: str
    # The service of the backend server beside this node.
    service: str
    backend_server: Address
    # Where callers on this instance send their requests.
    caller_address: Address
    # Where other nodes send requests for the backend server.
    node_address: Address
    readiness_address: Address
    # Where the backend server announces itself.
    announce_address: Address
    # UDP port for gossip between nodes; the same on every instance.
    news_port: int
    store_address: Address
    metrics_address: Address
    # The region of each availability zone.
    regions: Mapping[str, str]
    bounds: MeshBounds = MeshBounds()
    # Idempotent requests of one connection that are served at the same time.
    max_pipelined: int = 16
    # Whether the whole deployment starts for the first time.
    is_first_start: bool = False
    instance: InstanceLimits = InstanceLimits()
    # Hedges of a service as a share of its requests, at most; 0 forbids them,
    # and `None` leaves only the limits on resends.
    hedge_share: float | None = None


class ServerStatus(enum.Enum):
    """Status that a backend server announces."""

    READY = 'ready'
    LEAVING = 'leaving'
    GONE = 'gone'


class Announcement(NamedTuple):
    """A heartbeat or the final announcement of a backend server."""

    instance_id: str
    status: ServerStatus
    # Start of the backend server in Unix milliseconds; 0 if unknown.
    born_ms: int
    # Increases with each heartbeat of one start.
    sequence: int = 0
    address: Address | None = None
    service: str = ''
    slots: int = 0
    # Remaining warm-up time after its start, in which it is slow.
    warm_up_ms: float = 0
    # Empty if it names none.
    availability_zone: str = ''
