"""Metrics, alert rules, OpenAPI document and logs of a running node."""

import asyncio
import re
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from carobmoor import Call
from stand_ins.deployment import Deployment, Place
from tests.fixtures import asynchronous, connected_client, run_deployment

PLACE = Place('bookings', 'lagos', 'lagos-a')
ROOT = Path(__file__).parent.parent
METRIC_NAME = re.compile('carobmoor_[a-z_]+')


async def read_path(
    deployment: Deployment,
    target: str,
    accept: str = 'text/plain',
) -> str:
    """Return the body of a control path as text."""
    node = deployment.pairs[0].node
    reader, writer = await asyncio.open_connection(*node)
    head = (
        f'GET {target} HTTP/1.1\r\nhost: a\r\naccept: {accept}\r\n'
        'connection: close\r\n\r\n'
    )
    writer.write(head.encode())
    answer = await reader.read()
    writer.close()
    return answer.partition(b'\r\n\r\n')[2].decode()


@asynchronous
async def test_documented_metrics_are_served():
    """The metrics page and alert rules name only metrics that a node serves."""
    async with (
        run_deployment(PLACE) as deployment,
        connected_client(deployment) as client,
    ):
        await client.call(Call('bookings', 'GET', '/x', repeatable=True))
        text = await read_path(deployment, '/_carobmoor/metrics')
    served = set[str]()
    for family in text_string_to_metric_families(text):
        served.add(family.name)
        served.update(sample.name for sample in family.samples)
    for page in ('examples/alerts.yml', 'docs/operators/metrics.md'):
        metric_names = set(METRIC_NAME.findall((ROOT / page).read_text()))
        # A counter without samples is exposed only by its family name.
        families = {
            name.removesuffix('_total') for name in metric_names - served
        }
        unserved = families - served - {'carobmoor_routing_'}
        assert not unserved, (page, unserved)


@asynchronous
async def test_openapi_lists_the_control_paths():
    """The OpenAPI document contains the control paths."""
    async with run_deployment(PLACE) as deployment:
        document = await read_path(deployment, '/_carobmoor/openapi.json')
    for path in ('status', 'configuration', 'drain', 'quarantine', 'burn'):
        assert f'"/_carobmoor/{path}"' in document


@asynchronous
async def test_failed_request_shows_in_metrics_and_logs():
    """The id of a request that may have run is in the metrics and the log."""
    headers = ((b'x-service-ms', b'5000'),)
    call = Call(
        'bookings',
        'POST',
        '/x',
        headers=headers,
        # Long enough to start on a busy machine, too short for an answer.
        timeout_ms=2000,
        request_id='the-lost-one',
    )
    async with (
        run_deployment(PLACE) as deployment,
        connected_client(deployment) as client,
    ):
        failed = await client.call(call)
        accepted_type = 'application/openmetrics-text'
        text = await read_path(deployment, '/_carobmoor/metrics', accepted_type)
        log = (deployment.folder / 'bookings-0.log').read_text()
    assert failed.unwrap_err().code == 'outcome_unknown', failed
    assert '# {request_id="the-lost-one"}' in text
    matching_lines = [
        line for line in log.splitlines() if 'the-lost-one' in line
    ]
    assert '"[requests] Request failed."' in matching_lines[0]
