"""The settings of one node, in JSON with comments."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any, Final, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from result import Err, Ok, Result
from typing_extensions import TypedDict

from carobmoor.configuration import Fault, check_document, read_commented
from carobmoor.operators import Operator

_STRICT: Final = ConfigDict(extra='forbid', strict=True)

Name = Annotated[str, Field(pattern='^[a-z][a-z0-9-]{0,62}$')]
NameOrAll = Annotated[str, Field(pattern=r'^([a-z][a-z0-9-]{0,62}|\*)$')]
IpNumber = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
Port = Annotated[int, Field(ge=1, le=65535)]
Peer = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
LogLevel = Literal['debug', 'info', 'warning', 'error']


@with_config(_STRICT)
class EndpointSettings(TypedDict):
    """Where another process listens."""

    ip: IpNumber
    port: Port


@with_config(_STRICT)
class PlaceSettings(TypedDict):
    """Where this instance stands."""

    region: Name
    availability_zone: Name


@with_config(_STRICT)
class PlatformSettings(TypedDict):
    """The platform's two services."""

    table_service: EndpointSettings
    object_store: EndpointSettings


@with_config(_STRICT)
class OperatorSettings(TypedDict):
    """An operator, known by the digest of a token."""

    name: Name
    token_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    # The scope; "*" stands for all, and without any the operator only reads.
    teams: NotRequired[Sequence[NameOrAll]]
    services: NotRequired[Sequence[NameOrAll]]


@with_config(_STRICT)
class TlsSettings(TypedDict):
    """PEM files; with them the listener and calls to nodes are encrypted."""

    certificate_path: str
    private_key_path: str
    authority_path: str
    # Whether the backend server and the platform are called with TLS too.
    backend_server: NotRequired[bool]
    platform: NotRequired[bool]


@with_config(_STRICT)
class Settings(TypedDict):
    """Everything that a node is told at its start."""

    listen: EndpointSettings
    place: PlaceSettings
    service: Name
    backend_server: EndpointSettings
    platform: PlatformSettings
    # Nodes to meet when the table service can't name any.
    peers: NotRequired[Sequence[Peer]]
    # Signs what nodes tell each other; the same on all nodes, or absent.
    cluster_key: NotRequired[Annotated[str, Field(min_length=16)]]
    operators: NotRequired[Sequence[OperatorSettings]]
    tls: NotRequired[TlsSettings]
    log_level: NotRequired[LogLevel]
    # How long a leaving node keeps refusing before it stops.
    leave_linger_ms: NotRequired[Annotated[int, Field(ge=0, le=600_000)]]
    # After so long a stopping node cuts what still runs.
    leave_most_ms: NotRequired[Annotated[int, Field(ge=1, le=86_400_000)]]
    most_header_bytes: NotRequired[Annotated[int, Field(ge=1024, le=1_048_576)]]
    # Where to append the history of this node, for checking; off if absent.
    history_path: NotRequired[str]


_ADAPTER: Final[TypeAdapter[Settings]] = TypeAdapter(Settings)


def validate_settings(
    candidate: object,
) -> Result[Settings, Sequence[Fault]]:
    """Check parsed settings; every fault is told with its path."""
    return check_document(_ADAPTER, candidate)


def load_settings(path: str) -> Result[Settings, Sequence[Fault]]:
    """Read and check a settings file."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err((Fault(path, 'no readable file', str(error)),))
    parsed = read_commented(text)
    if isinstance(parsed, Err):
        return parsed
    checked = validate_settings(parsed.ok_value)
    return checked if isinstance(checked, Err) else Ok(checked.ok_value)


def operators_of(settings: Settings) -> Sequence[Operator]:
    """Give the operators that the settings name."""
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
    """Give the JSON Schema of the settings."""
    return _ADAPTER.json_schema()
