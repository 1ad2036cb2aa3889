"""Runs one benchmark or all of them: `python -m bench [NAME]`."""

import sys
from types import MappingProxyType

import fire

from bench.admission import measure_admission
from bench.configuration import measure_configuration
from bench.floods import measure_floods
from bench.hop import measure_hop
from bench.load_patterns import measure_load_patterns
from bench.membership import measure_membership
from bench.quarantine import measure_quarantine
from bench.retries import measure_retries
from bench.routing import measure_routing
from bench.tickets import measure_tickets

_BENCHES = MappingProxyType(
    {
        'admission': measure_admission,
        'floods': measure_floods,
        'hop': measure_hop,
        'load_patterns': measure_load_patterns,
        'membership': measure_membership,
        'configuration': measure_configuration,
        'quarantine': measure_quarantine,
        'retries': measure_retries,
        'routing': measure_routing,
        'tickets': measure_tickets,
    },
)


def main() -> None:
    """Run the benchmark named on the command line, or all of them."""
    if len(sys.argv) > 1:
        fire.Fire(dict(_BENCHES), name='bench')
        return
    for name, bench in _BENCHES.items():
        sys.stdout.write(f'== {name}\n')
        bench()


if __name__ == '__main__':
    main()
