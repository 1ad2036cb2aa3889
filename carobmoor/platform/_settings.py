"""Parsing of the platform's settings file: lines of the form `a.b=value`."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh import MeshBounds, MeshSettings
from carobmoor.platform._units import read_address, read_duration_ms
from carobmoor.transport import Address

_LISTEN: Final = 'listen.'
_ZONES: Final = 'zones.'
# Not in the settings file; the deploy file names the same port.
METRICS_PORT: Final = 9464


class SettingsFault(ValueError):
    """A settings field is missing or malformed."""


def load_settings(path: str) -> Result[MeshSettings, str]:
    """Read and parse the settings file at `path`.

    `Err` holds a message that names the field, or the file if it can't be
    opened.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err(f'{path}: {error}')
    return read_settings(text)


def read_settings(text: str) -> Result[MeshSettings, str]:
    """Parse settings; unknown fields are ignored.

    `Err` holds a message that names the field.
    """
    fields = dict(_field(line) for line in text.splitlines() if _is_field(line))
    try:
        return Ok(_settings(fields))
    except ValueError as error:
        return Err(str(error))


def _is_field(line: str) -> bool:
    return '=' in line and not line.lstrip().startswith('#')


def _field(line: str) -> tuple[str, str]:
    name, _, content = line.partition('=')
    return name.strip(), content.strip()


def _settings(fields: Mapping[str, str]) -> MeshSettings:
    return MeshSettings(
        name=_text(fields, 'node'),
        ip=_text(fields, 'ip'),
        availability_zone=_text(fields, 'zone'),
        region=_text(fields, 'region'),
        # Service of the backend server on this instance.
        service=_text(fields, 'service'),
        backend_server=_address(fields, 'app'),
        # Listens for callers on this instance.
        caller_address=_address(fields, f'{_LISTEN}outbound'),
        # Listens for other nodes.
        node_address=_address(fields, f'{_LISTEN}inbound'),
        readiness_address=_address(fields, f'{_LISTEN}readiness'),
        # Listens for announcements of the backend server.
        announce_address=_address(fields, f'{_LISTEN}control'),
        news_port=_number(fields, 'internalPorts'),
        store_address=_address(fields, 'platform.address'),
        metrics_address=Address(_text(fields, 'ip'), METRICS_PORT),
        regions={
            name.removeprefix(_ZONES): region
            for name, region in fields.items()
            if name.startswith(_ZONES)
        },
        bounds=_bounds(fields),
    )


def _bounds(fields: Mapping[str, str]) -> MeshBounds:
    named = dict(
        _field(part) for part in fields.get('bounds', '').split(',') if part
    )
    default = MeshBounds()
    return MeshBounds(
        heartbeat_ms=_duration(fields, 'heartbeat', default.heartbeat_ms, ''),
        # Time from the stop signal until the platform kills the node.
        stop_ms=_duration(named, 'grace', default.stop_ms),
        retry_ratio=_fraction(named, 'retryBudgetRatio', default.retry_ratio),
        retry_slack=_fraction(named, 'retryBudgetSlack', default.retry_slack),
        retry_window_ms=_duration(
            named, 'budgetWindow', default.retry_window_ms
        ),
        probes_per_s=_fraction(named, 'probesPerS', default.probes_per_s),
    )


def _text(fields: Mapping[str, str], name: str) -> str:
    content = fields.get(name, '')
    if not content:
        raise SettingsFault(f'{name}: missing or empty')
    return content


def _address(fields: Mapping[str, str], name: str) -> Address:
    content = _text(fields, name)
    try:
        return read_address(content)
    except ValueError as error:
        raise SettingsFault(f'{name}: {error}') from error


def _number(fields: Mapping[str, str], name: str) -> int:
    first = _text(fields, name).split(',')[0]
    if not first.isdigit():
        raise SettingsFault(f'{name}: {first!r} is not a whole number')
    return int(first)


def _duration(
    fields: Mapping[str, str],
    name: str,
    default_ms: float,
    path: str = 'bounds.',
) -> float:
    if name not in fields:
        return default_ms
    try:
        return read_duration_ms(fields[name])
    except ValueError as error:
        raise SettingsFault(f'{path}{name}: {error}') from error


def _fraction(fields: Mapping[str, str], name: str, default: float) -> float:
    try:
        return float(fields.get(name, default))
    except ValueError as error:
        raise SettingsFault(f'bounds.{name}: {error}') from error
