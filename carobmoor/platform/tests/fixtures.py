"""Examples of settings, documents and heartbeats in the platform's formats."""

import json
from typing import Any

SETTINGS = """\
node=sidecar-lagos-ikeja-1
role=node
machineClass=sidecar
ip=10.1.0.8
zone=lagos-ikeja
region=lagos
zones.lagos-ikeja=lagos
zones.abuja-wuse=abuja
listen.inbound=10.1.0.8:8300
listen.outbound=10.1.0.8:8304
listen.readiness=10.1.0.8:8302
listen.control=10.1.0.8:8306
internalPorts=7620,7635
seeds=
heartbeat=1500ms
bounds=contact=3000ms,grace=6s,retryBudgetRatio=0.2,budgetWindow=10s,probesPerS=60
app=10.1.0.8:8301
service=huvo11a
platform.address=10.200.1.7:8309
something.new=1
"""


def make_document(**changed: Any) -> bytes:
    """Return an operator's document; `changed` replaces fields of its rule."""
    rule: dict[str, Any] = {
        'name': 'r-1',
        'routeType': 'idempotent',
        'targetLatency': '400ms',
        'priority': 1,
        'match': {'prefix': '/a/'},
        'action': {'service': 'one', 'timeout': '1s', 'attempts': 2},
    }
    rule.update(changed)
    return json.dumps(
        {
            'version': 'r7',
            'baseVersion': 'r5',
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'listeners': [{'host': 'Shop.example', 'routeRules': [rule]}],
            'clusters': [
                {
                    'name': name,
                    'healthCheckPath': '/health',
                    'maxConnections': 220,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in ('one', 'two')
            ],
        },
    ).encode()


def make_heartbeat(**changed: Any) -> bytes:
    """Return a heartbeat; `changed` replaces its fields."""
    fields: dict[str, Any] = {
        'address': '10.1.0.8:8301',
        'born': 1700,
        'info': {
            'service': 'one',
            'version': 'v1',
            'zone': 'lagos-ikeja',
            'slots': 9,
        },
        'status': {
            'state': 'ready',
            'sequence': 4,
            'coldRemaining': '1.5s',
        },
    }
    fields.update(changed)
    return json.dumps(fields).encode()
