"""Parsing of the platform's settings file: lines of the form `a.b=value`."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from carobmoor.mesh import InstanceLimits, MeshBounds, MeshSettings
from carobmoor.platform._units import parse_duration_ms, parse_ip_port
from carobmoor.transport import Address

_LISTEN_PREFIX: Final = 'listen.'
_ZONE_PREFIX: Final = 'zones.'
# Not in the settings file; the deploy file names the same port.
METRICS_PORT: Final = 9464
# A field of carobmoor itself, which a template of the deploy file may add.
_MAX_PIPELINED_FIELD: Final = 'pipelining.maxInProgress'
# The same: hedges as a share of the requests of a service.
_HEDGE_SHARE_FIELD: Final = 'hedging.maxShare'
_MAX_HEDGE_SHARE: Final = 0.5
_MIN_PIPELINED: Final = 1
_MAX_PIPELINED: Final = 256
# Where revocation fails closed and its bound is missing.
_DEFAULT_REVOCATION_MS: Final = 5000


class SettingsError(ValueError):
    """A settings field is missing or malformed."""


def load_settings(path: str) -> Result[MeshSettings, str]:
    """Read and parse the settings file at `path`.

    `Err` holds a message that names the field, or the file if it can't be
    opened.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err(f'cannot read {path}: {error}')
    return parse_settings(text)


def parse_settings(text: str) -> Result[MeshSettings, str]:
    """Parse settings; unknown fields are ignored.

    `Err` holds a message that names the field.
    """
    fields = dict(
        _split_field(line) for line in text.splitlines() if _has_field(line)
    )
    try:
        return Ok(_build_settings(fields))
    except ValueError as error:
        return Err(str(error))


def _has_field(line: str) -> bool:
    return '=' in line and not line.lstrip().startswith('#')


def _split_field(line: str) -> tuple[str, str]:
    name, _, content = line.partition('=')
    return name.strip(), content.strip()


def _build_settings(fields: Mapping[str, str]) -> MeshSettings:
    return MeshSettings(
        name=_require_text(fields, 'node'),
        ip=_require_text(fields, 'ip'),
        availability_zone=_require_text(fields, 'zone'),
        region=_require_text(fields, 'region'),
        # Service of the backend server on this instance.
        service=_require_text(fields, 'service'),
        backend_server=_parse_address(fields, 'app'),
        # Listens for callers on this instance.
        caller_address=_parse_address(fields, f'{_LISTEN_PREFIX}outbound'),
        # Listens for other nodes.
        node_address=_parse_address(fields, f'{_LISTEN_PREFIX}inbound'),
        readiness_address=_parse_address(fields, f'{_LISTEN_PREFIX}readiness'),
        # Listens for announcements of the backend server.
        announce_address=_parse_address(fields, f'{_LISTEN_PREFIX}control'),
        news_port=_parse_number(fields, 'internalPorts'),
        store_address=_parse_address(fields, 'platform.address'),
        metrics_address=Address(_require_text(fields, 'ip'), METRICS_PORT),
        regions={
            name.removeprefix(_ZONE_PREFIX): region
            for name, region in fields.items()
            if name.startswith(_ZONE_PREFIX)
        },
        bounds=_build_bounds(fields),
        max_pipelined=_parse_max_pipelined(fields),
        is_first_start=fields.get('bootstrap') == 'true',
        hedge_share=_parse_hedge_share(fields),
        instance=InstanceLimits(
            _parse_float(fields, 'limits.memoryMb', 0, ''),
            int(_parse_float(fields, 'limits.maxFds', 0, '')),
            _parse_float(fields, 'limits.linkMbps', 0, ''),
        ),
    )


def _build_bounds(fields: Mapping[str, str]) -> MeshBounds:
    bound_fields = dict(
        _split_field(part)
        for part in fields.get('bounds', '').split(',')
        if part
    )
    default = MeshBounds()
    return MeshBounds(
        heartbeat_ms=_parse_duration(
            fields, 'heartbeat', default.heartbeat_ms, ''
        ),
        # Time from the stop signal until the platform kills the node.
        stop_ms=_parse_duration(bound_fields, 'grace', default.stop_ms),
        retry_ratio=_parse_float(
            bound_fields, 'retryBudgetRatio', default.retry_ratio
        ),
        retry_slack=_parse_float(
            bound_fields, 'retryBudgetSlack', default.retry_slack
        ),
        retry_window_ms=_parse_duration(
            bound_fields, 'budgetWindow', default.retry_window_ms
        ),
        probes_per_s=_parse_float(
            bound_fields, 'probesPerS', default.probes_per_s
        ),
        configuration_ms=_parse_duration(
            bound_fields, 'configApply', default.configuration_ms
        ),
        evacuation_ms=_parse_duration(
            bound_fields, 'evacuation', default.evacuation_ms
        ),
        cold_ratio=_parse_float(
            bound_fields, 'coldOverage', default.cold_ratio
        ),
        cold_slack=_parse_float(bound_fields, 'coldSlack', default.cold_slack),
        revocation_ms=_parse_revocation_ms(bound_fields),
        allotment_window_ms=_parse_duration(
            bound_fields, 'quotaWindow', default.allotment_window_ms
        ),
        allotment_ratio=_parse_float(
            bound_fields, 'quotaOverage', default.allotment_ratio
        ),
        allotment_slack=_parse_float(
            bound_fields, 'quotaSlack', default.allotment_slack
        ),
    )


def _parse_revocation_ms(fields: Mapping[str, str]) -> float | None:
    if fields.get('revokeFailClosed') != 'true':
        return None
    return _parse_duration(fields, 'revoke', _DEFAULT_REVOCATION_MS)


def _parse_max_pipelined(fields: Mapping[str, str]) -> int:
    if _MAX_PIPELINED_FIELD not in fields:
        return MeshSettings._field_defaults['max_pipelined']
    number = _parse_number(fields, _MAX_PIPELINED_FIELD)
    if not _MIN_PIPELINED <= number <= _MAX_PIPELINED:
        raise SettingsError(
            f'{_MAX_PIPELINED_FIELD}: {number} is not between '
            f'{_MIN_PIPELINED} and {_MAX_PIPELINED}',
        )
    return number


def _parse_hedge_share(fields: Mapping[str, str]) -> float | None:
    if _HEDGE_SHARE_FIELD not in fields:
        return None
    share = _parse_float(fields, _HEDGE_SHARE_FIELD, 0, '')
    if not 0 <= share <= _MAX_HEDGE_SHARE:
        raise SettingsError(
            f'{_HEDGE_SHARE_FIELD}: {share} is not between 0 and '
            f'{_MAX_HEDGE_SHARE}',
        )
    return share


def _require_text(fields: Mapping[str, str], name: str) -> str:
    content = fields.get(name, '')
    if not content:
        raise SettingsError(f'{name}: missing or empty')
    return content


def _parse_address(fields: Mapping[str, str], name: str) -> Address:
    content = _require_text(fields, name)
    try:
        return parse_ip_port(content)
    except ValueError as error:
        raise SettingsError(f'{name}: {error}') from error


def _parse_number(fields: Mapping[str, str], name: str) -> int:
    first = _require_text(fields, name).split(',')[0]
    if not first.isdigit():
        raise SettingsError(f'{name}: {first!r} is not a whole number')
    return int(first)


def _parse_duration(
    fields: Mapping[str, str],
    name: str,
    default_ms: float,
    prefix: str = 'bounds.',
) -> float:
    if name not in fields:
        return default_ms
    try:
        return parse_duration_ms(fields[name])
    except ValueError as error:
        raise SettingsError(f'{prefix}{name}: {error}') from error


def _parse_float(
    fields: Mapping[str, str],
    name: str,
    default: float,
    prefix: str = 'bounds.',
) -> float:
    try:
        return float(fields.get(name, default))
    except ValueError as error:
        raise SettingsError(f'{prefix}{name}: {error}') from error
