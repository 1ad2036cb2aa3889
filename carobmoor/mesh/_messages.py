"""Settings of a mesh node, and what backend servers and nodes tell."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from carobmoor.transport import Address


class HeaderNames(NamedTuple):
    """The headers that callers and backend servers use, in lower case."""

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_instance: bytes
    load: bytes
    not_run: bytes
    caller_service: bytes


class MeshBounds(NamedTuple):
    """The deployment's limits; the platform's settings may replace each."""

    # How often a backend server announces itself.
    heartbeat_ms: float = 1500
    # After so long a stopping process is killed.
    stop_ms: float = 6000
    # Repeated sends to a service, as a share of its requests in a window,
    # and how many more there may be, over all nodes together.
    retry_ratio: float = 0.2
    retry_slack: float = 50
    retry_window_ms: float = 10_000
    # Health checks of one backend server.
    probes_per_s: float = 60


class MeshSettings(NamedTuple):
    """Everything that a mesh node is told at its start."""

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
    # Datagrams between nodes; the same port on every instance.
    news_port: int
    store_address: Address
    metrics_address: Address
    # The region of each availability zone.
    regions: Mapping[str, str]
    bounds: MeshBounds = MeshBounds()


class Standing(enum.Enum):
    """What a backend server says of itself."""

    READY = 'ready'
    LEAVING = 'leaving'
    GONE = 'gone'


class Announcement(NamedTuple):
    """One heartbeat or the last word of a backend server."""

    instance_id: str
    standing: Standing
    # The Unix millisecond of its start; 0 when it doesn't say.
    born_ms: int
    # Grows with each heartbeat of one start.
    sequence: int = 0
    address: Address | None = None
    service: str = ''
    slots: int = 0
    # How much longer it is slow after its start.
    cold_ms: float = 0
