"""Simulates the platform's store with its published protocol.

Run it as `python -m stand_ins.platform --port PORT`. `POST /faults` with
`{"delay_ms": 0, "is_down": false, "loses_answers": 0}` injects faults:
`delay_ms` delays every call, `is_down` answers every call with 503, and
`loses_answers` applies that many writes but answers them with 500. `loses_on`
limits lost answers to writes of one `table/key`. `forgets_history` answers
the next long poll for changes with 410.
"""

import asyncio
import contextlib
import json
import time
from typing import Any, NamedTuple

import fire
import uvicorn
from blacksheep import Application, Content, Request, Response, Router


class Faults:
    """The faults injected into the stand-in, and its call counters."""

    def __init__(self) -> None:
        """Create a state without faults."""
        self.delay_ms = 0
        self.is_down = False
        self.loses_answers = 0
        # `table/key` whose writes lose their answers; empty means any.
        self.loses_on = ''
        # Reads return the content before the last write.
        self.is_stale = False
        # The next long poll for changes is answered with 410.
        self.forgets_history = False
        self.reads = 0
        self.writes = 0


class StoredRow(NamedTuple):
    """The base64 content of a row and the store version that wrote it."""

    content: str
    version: int


Rows = dict[str, StoredRow]


class Store:
    """Tables and objects in memory."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.tables: dict[str, Rows] = {}
        self.replaced_rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.started_s = time.monotonic()
        self.changed = asyncio.Event()

    def advance_version(self) -> None:
        """Increment the version and wake the pending long polls."""
        self.version += 1
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def now(self) -> str:
        """Return the monotonic time since the start, as in `12ms`."""
        return f'{int((time.monotonic() - self.started_s) * 1000)}ms'


def make_application(store: Store, faults: Faults) -> Application:
    """Create the web application that serves a store with its faults."""
    # The default router is shared by all applications of a process.
    app = Application(router=Router())
    _add_row_routes(app, store, faults)
    _add_object_routes(app, store)
    _add_fault_routes(app, faults)

    async def inject_faults(request: Request, handler: Any) -> Response:
        if request.url.path == b'/faults':
            return await handler(request)
        is_write = request.method != 'GET'
        faults.writes += is_write
        faults.reads += not is_write
        await asyncio.sleep(faults.delay_ms / 1000)
        if faults.is_down:
            return Response(503)
        answer = await handler(request)
        if (
            is_write
            and faults.loses_answers
            and await _loses_answer(request, faults)
        ):
            faults.loses_answers -= 1
            return Response(500)
        return answer

    app.middlewares.append(inject_faults)
    return app


async def _loses_answer(request: Request, faults: Faults) -> bool:
    if not faults.loses_on:
        return True
    if request.url.path != b'/v1/rows-tx':
        return False
    entries = json.loads(await request.read() or b'{}')
    written_rows = [*entries.get('put', ()), *entries.get('remove', ())]
    return any(_row_path(entry) == faults.loses_on for entry in written_rows)


def _add_row_routes(app: Application, store: Store, faults: Faults) -> None:
    async def get_rows(request: Request) -> Response:
        query = {name: values[0] for name, values in request.query.items()}
        rows = store.tables.get(query['table'], {})
        start_key = query.get('startKey', '')
        end_key = query.get('target')
        selected = [
            _encode_row(store, faults, query['table'], key)
            for key in sorted(rows)
            if key >= start_key and (end_key is None or key < end_key)
        ]
        return _json_response(
            {
                'rows': selected,
                'hasMore': False,
                'rowVersion': store.version,
                'now': store.now(),
            },
        )

    async def transact(request: Request) -> Response:
        entries = json.loads(await request.read() or b'{}')
        expected = entries.get('expected', ())
        if not all(_has_expected_version(store, entry) for entry in expected):
            rows = [
                _encode_row(store, faults, entry['table'], entry['key'])
                for entry in expected
                if entry['key'] in store.tables.get(entry['table'], {})
            ]
            return _json_response({'rows': rows}, 412)
        store.advance_version()
        for entry in entries.get('put', ()):
            _put_row(store, entry)
        for entry in entries.get('remove', ()):
            store.tables.get(entry['table'], {}).pop(entry['key'], None)
        return _json_response({'rowVersion': store.version, 'now': store.now()})

    async def wait_for_changes(request: Request) -> Response:
        query = {name: values[0] for name, values in request.query.items()}
        if faults.forgets_history:
            faults.forgets_history = False
            return Response(410)
        table, after = query['table'], int(query['after'])
        deadline_s = time.monotonic() + int(query['waitMs']) / 1000
        while not _changed_keys(store, table, after):
            if faults.is_down or time.monotonic() > deadline_s:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await store.changed.wait()
        if faults.is_down:
            return Response(503)
        rows = [
            _encode_row(store, Faults(), table, key)
            for key in _changed_keys(store, table, after)
        ]
        changes = {
            'rows': rows,
            'rowVersion': store.version,
            'now': store.now(),
        }
        return _json_response(changes)

    app.router.add_get('/v1/rows-get', get_rows)
    app.router.add_get('/v1/rows-feed', wait_for_changes)
    app.router.add_post('/v1/rows-tx', transact)


def _add_object_routes(app: Application, store: Store) -> None:
    async def get_object(name: str) -> Response:
        body = store.objects.get(name)
        if body is None:
            return Response(404)
        return Response(200, content=Content(b'application/octet-stream', body))

    async def put_object(request: Request, name: str) -> Response:
        store.objects[name] = await request.read() or b''
        return Response(200)

    app.router.add_get('/v1/blob-get/{name}', get_object)
    app.router.add_put('/v1/blob-put/{name}', put_object)


def _add_fault_routes(app: Application, faults: Faults) -> None:
    async def set_faults(request: Request) -> Response:
        for name, setting in json.loads(await request.read() or b'{}').items():
            setattr(faults, name, setting)
        return _json_response(vars(faults))

    async def get_faults() -> Response:
        return _json_response(vars(faults))

    app.router.add_post('/faults', set_faults)
    app.router.add_get('/faults', get_faults)


def _changed_keys(store: Store, table: str, after: int) -> list[str]:
    rows = store.tables.get(table, {})
    return [key for key, row in sorted(rows.items()) if row.version > after]


def _has_expected_version(store: Store, entry: Any) -> bool:
    row = store.tables.get(entry['table'], {}).get(entry['key'])
    version = 0 if row is None else row.version
    return entry['rowVersion'] == version


def _put_row(store: Store, entry: Any) -> None:
    rows = store.tables.setdefault(entry['table'], {})
    replaced = rows.get(entry['key'])
    if replaced is not None:
        store.replaced_rows[_row_path(entry)] = replaced
    rows[entry['key']] = StoredRow(entry['value'], store.version)


def _encode_row(store: Store, faults: Faults, table: str, key: str) -> Any:
    row = store.tables[table][key]
    if faults.is_stale:
        row = store.replaced_rows.get(f'{table}/{key}') or row
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': row.content,
        'rowVersion': row.version,
    }


def _row_path(entry: Any) -> str:
    return f'{entry["table"]}/{entry["key"]}'


def _json_response(document: Any, status: int = 200) -> Response:
    encoded = json.dumps(document).encode()
    return Response(status, content=Content(b'application/json', encoded))


def serve(port: int, ip: str = '127.0.0.1') -> None:
    """Serve until stopped."""
    app = make_application(Store(), Faults())
    uvicorn.run(app, host=ip, port=port, loop='asyncio', log_level='error')


if __name__ == '__main__':
    fire.Fire(serve)
