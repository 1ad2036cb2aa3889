"""The store client speaks the published protocol to the stand-in store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import uvicorn
from nose2.tools import params

from carobmoor.platform import StoreClient
from carobmoor.store import StoreFault
from carobmoor.transport import Address, ConnectionPool
from stand_ins.deployment import free_port
from stand_ins.platform import Faults, Store, make_application

IP = '127.0.0.1'


def run_with_store(
    test: Callable[[StoreClient, Faults], Awaitable[Any]],
) -> Any:
    """Run `test` with a client of a stand-in store and with its faults."""

    async def main() -> Any:
        faults = Faults()
        port = free_port()
        config = uvicorn.Config(
            make_application(Store(), faults),
            host=IP,
            port=port,
            log_level='critical',
        )
        server = uvicorn.Server(config)
        serving = asyncio.create_task(server.serve())
        pool = ConnectionPool()
        for _ in range(500):
            if server.started:
                break
            await asyncio.sleep(0.01)
        outcome = await test(StoreClient(pool, Address(IP, port)), faults)
        pool.close()
        server.should_exit = True
        await serving
        return outcome

    return asyncio.run(main())


def test_outdated_etag_rejects_write():
    """A write with an outdated etag fails and leaves the row unchanged."""

    async def check(store: StoreClient, _: Faults) -> None:
        first = (await store.put_row('t', 'a/b c', b'1', '')).unwrap()
        stale = await store.put_row('t', 'a/b c', b'2', '')
        assert stale.unwrap_err().fault is StoreFault.PRECONDITION
        second = (await store.put_row('t', 'a/b c', b'2', first.etag)).unwrap()
        assert (await store.get_row('t', 'a/b c')).unwrap() == second
        assert (await store.get_row('t', 'a')).unwrap() is None
        (await store.put_row('t', 'b', b'3', '')).unwrap()
        listed = (await store.list_rows('t', 'a/')).unwrap()
        assert [row.content for row in listed] == [b'2']
        (await store.delete_row('t', 'a/b c', second.etag)).unwrap()
        assert (await store.get_row('t', 'a/b c')).unwrap() is None

    run_with_store(check)


def test_object_is_read_back_as_written():
    """An object is read back as it was written."""

    async def check(store: StoreClient, _: Faults) -> None:
        missing = await store.get_object('b', 'k/1')
        assert missing.unwrap_err().fault is StoreFault.MISSING
        (await store.put_object('b', 'k/1', b'body')).unwrap()
        assert (await store.get_object('b', 'k/1')).unwrap() == b'body'

    run_with_store(check)


def test_lost_answer_fails_as_unavailable():
    """A write whose answer is lost fails as unavailable but takes effect."""

    async def check(store: StoreClient, faults: Faults) -> None:
        faults.loses_answers = 1
        written = await store.put_row('t', 'k', b'1', '')
        assert written.unwrap_err().fault is StoreFault.UNAVAILABLE
        assert (await store.get_row('t', 'k')).unwrap().content == b'1'

    run_with_store(check)


@params(4, 5)
def test_breaker_opens_after_five_failures(failures):
    """The breaker opens after five failed calls in a row, not after four.

    The call that follows an opened breaker is not sent.
    """

    async def check(store: StoreClient, faults: Faults) -> None:
        faults.is_down = True
        for _ in range(failures):
            await store.get_row('t', 'k')
        assert store.is_down == (failures == 5), (failures, store.calls)
        await store.get_row('t', 'k')
        assert store.calls == 5

    run_with_store(check)
