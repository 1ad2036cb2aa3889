"""A zone is evacuated some seconds after a drill of the store."""

import asyncio
from pathlib import Path

from stage import TROUBLE, CannotRun, Stage, main, manifest, now

BOUNDS = (
    'contact=3000ms,ack=5000ms,drain=3000ms,grace=6s,configApply=3000ms,'
    'partitionMax=5000ms,retryBudgetRatio=0.2,budgetWindow=10s,'
    'retryBudgetSlack=182,evacuation=5000ms,probesPerS=60'
)
EVACUATION_S = 5.0
# How long the zone stays evacuated (site file: 8 s).
EVACUATED_S = 8.0
ZONE = 'praha-a'


async def case():
    layout = [(zone, region, 'ledger') for zone, region in ((ZONE, 'cz-praha'), ('praha-b', 'cz-praha'),
                                                            ('brno-a', 'cz-brno'), ('brno-b', 'cz-brno'))
              for _ in range(2)]
    routes = manifest({'/get/': ('idempotent', 'ledger', '1000ms', 2)}, ['ledger'])
    stage = Stage(Path(__file__).parent, layout, routes, BOUNDS)
    numbers = iter(range(1, 100_000))
    try:
        await stage.open()
        store = stage.store
        await asyncio.sleep(2)
        # The copy that the drill goes back to.
        store.take_copy()
        # Two upstreams are replaced, of which their nodes write to the store,
        # and a manifest is sent.
        replaced = [stage.upstreams[p] for p in stage.places if p.zone == 'brno-a']
        await asyncio.gather(*(one.replace(3.0) for one in replaced))
        await asyncio.sleep(0.3)
        stage.publish()
        await asyncio.sleep(1)
        if TROUBLE:
            store.go_down()
            await asyncio.sleep(0.5)
            store.come_back(from_copy=True)
            # What the operator wrote since the copy is written again.
            stage.republish()
        # Longer than `contact`, so that all machines are in touch again.
        await asyncio.sleep(5)
        store.put('op', f'evacuate/{ZONE}', 'e30=')
        acknowledged = now()
        while now() < acknowledged + EVACUATED_S:
            for place in stage.places:
                await stage.request(place, f'q{next(numbers)}')
            await asyncio.sleep(0.1)
        late = [
            (at - acknowledged, run[0])
            for place, upstream in stage.upstreams.items()
            if place.zone == ZONE
            for at, *run in upstream.runs
            if at > acknowledged + EVACUATION_S
        ]
        if not any(u.runs for u in stage.upstreams.values()):
            raise CannotRun('no request ran at all')
        return [f'{len(late)} requests ran in the evacuated zone more than 5 s after its acknowledgement, the last after {late[-1][0]:.1f} s'] if late else []
    finally:
        await stage.close()


main(case)
