"""Settings of a node, read from JSON with comments."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any, Final, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from result import Err, Ok, Result
from typing_extensions import TypedDict

from carobmoor.configuration import (
    Fault,
    parse_commented_json,
    validate_against,
)
from carobmoor.operators import Operator

_STRICT: Final = ConfigDict(extra='forbid', strict=True)

Name = Annotated[str, Field(pattern='^[a-z][a-z0-9-]{0,62}$')]
NameOrAll = Annotated[str, Field(pattern=r'^([a-z][a-z0-9-]{0,62}|\*)$')]
IpAddress = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
Port = Annotated[int, Field(ge=1, le=65535)]
PeerAddress = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
LogLevel = Literal['debug', 'info', 'warning', 'error']


@with_config(_STRICT)
class EndpointSettings(TypedDict):
    """IP address and port on which a process listens."""

    ip: IpAddress
    port: Port


@with_config(_STRICT)
class PlaceSettings(TypedDict):
    """Region and availability zone of this instance."""

    region: Name
    availability_zone: Name


@with_config(_STRICT)
class PlatformSettings(TypedDict):
    """Addresses of the table service and object store of the platform."""

    table_service: EndpointSettings
    object_store: EndpointSettings


@with_config(_STRICT)
class OperatorSettings(TypedDict):
    """An operator, identified by the SHA-256 digest of a token."""

    name: Name
    token_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    # Scope: "*" means all; an operator without teams and services only reads.
    teams: NotRequired[Sequence[NameOrAll]]
    services: NotRequired[Sequence[NameOrAll]]


@with_config(_STRICT)
class InstanceSettings(TypedDict):
    """What the instance grants to the process; no limit where absent."""

    memory_mb: NotRequired[Annotated[int, Field(ge=1)]]
    max_descriptors: NotRequired[Annotated[int, Field(ge=1)]]


@with_config(_STRICT)
class TlsSettings(TypedDict):
    """PEM files that encrypt the listener and calls to other nodes."""

    certificate_path: str
    private_key_path: str
    authority_path: str
    # Whether to call the backend server and the platform with TLS too.
    backend_server: NotRequired[bool]
    platform: NotRequired[bool]


@with_config(_STRICT)
class Settings(TypedDict):
    """Settings that a node reads at its start."""

    listen: EndpointSettings
    place: PlaceSettings
    service: Name
    backend_server: EndpointSettings
    platform: PlatformSettings
    # Nodes to join through when the table service can't name any.
    peers: NotRequired[Sequence[PeerAddress]]
    # Signs messages between nodes; the same on all nodes, or absent.
    cluster_key: NotRequired[Annotated[str, Field(min_length=16)]]
    operators: NotRequired[Sequence[OperatorSettings]]
    tls: NotRequired[TlsSettings]
    instance: NotRequired[InstanceSettings]
    log_level: NotRequired[LogLevel]
    # How long a leaving node refuses requests before it stops.
    leave_linger_ms: NotRequired[Annotated[int, Field(ge=0, le=600_000)]]
    # Time after which a stopping node aborts requests that still run.
    leave_most_ms: NotRequired[Annotated[int, Field(ge=1, le=86_400_000)]]
    most_header_bytes: NotRequired[Annotated[int, Field(ge=1024, le=1_048_576)]]
    # File to append the history of this node to, for checkers; off if absent.
    history_path: NotRequired[str]


_ADAPTER: Final[TypeAdapter[Settings]] = TypeAdapter(Settings)


def validate_settings(
    candidate: object,
) -> Result[Settings, Sequence[Fault]]:
    """Check parsed settings; every fault is returned with its path."""
    return validate_against(_ADAPTER, candidate)


def load_settings(path: str) -> Result[Settings, Sequence[Fault]]:
    """Read and check a settings file."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err((Fault(path, 'no readable file', str(error)),))
    parsed = parse_commented_json(text)
    if isinstance(parsed, Err):
        return parsed
    checked = validate_settings(parsed.ok_value)
    return checked if isinstance(checked, Err) else Ok(checked.ok_value)


def operators_of(settings: Settings) -> Sequence[Operator]:
    """Return the operators that the settings name."""
    return [
        Operator(
            declared['name'],
            declared['token_sha256'],
            frozenset(declared.get('teams', ())),
            frozenset(declared.get('services', ())),
        )
        for declared in settings.get('operators', ())
    ]


def settings_schema() -> Mapping[str, Any]:
    """Return the JSON Schema of the settings."""
    return _ADAPTER.json_schema()
