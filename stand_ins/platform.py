"""A stand-in for the platform: a table service and an object store.

Run it as `python -m stand_ins.platform --port PORT`. `POST /faults` with
`{"delay_ms": 0, "is_down": false, "loses_answers": 0}` makes it slow, takes
it down (503 for every call), or lets the next so many writes take effect
without their answer.
"""

import asyncio
import base64
import json
from typing import Any

import fire
import uvicorn
from blacksheep import Application, Content, Request, Response


class Faults:
    """How the stand-in misbehaves just now."""

    def __init__(self) -> None:
        """Start well."""
        self.delay_ms = 0
        self.is_down = False
        self.loses_answers = 0
        # Only of writes whose path starts so.
        self.loses_on = ''
        # Rows are read as they were before their last write.
        self.is_stale = False
        self.reads = 0
        self.writes = 0


class Store:
    """Rows and objects in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, dict[str, tuple[bytes, str]]] = {}
        self.before: dict[str, tuple[bytes, str]] = {}
        self.objects: dict[str, bytes] = {}
        self.tags = 0

    def next_tag(self) -> str:
        """Give a tag that no row has had."""
        self.tags += 1
        return f'tag-{self.tags}'


def make_application(store: Store, faults: Faults) -> Application:
    """Make the application over a store and its faults."""
    app = Application()
    _route_rows(app, store, faults)
    _route_objects(app, store)
    _route_faults(app, faults)

    async def misbehave(request: Request, handler: Any) -> Response:
        if request.url.path == b'/faults':
            return await handler(request)
        if request.method == 'GET':
            faults.reads += 1
        else:
            faults.writes += 1
        await asyncio.sleep(faults.delay_ms / 1000)
        if faults.is_down:
            return Response(503)
        answer = await handler(request)
        is_lost = request.url.path.startswith(faults.loses_on.encode())
        if request.method != 'GET' and is_lost and faults.loses_answers:
            faults.loses_answers -= 1
            return Response(500)
        return answer

    app.middlewares.append(misbehave)
    return app


def _route_rows(app: Application, store: Store, faults: Faults) -> None:
    async def get_row(table: str, key: str) -> Response:
        row = store.rows.get(table, {}).get(key)
        if faults.is_stale:
            row = store.before.get(f'{table}/{key}') or row
        return Response(404) if row is None else _row(row)

    async def put_row(request: Request, table: str, key: str) -> Response:
        rows = store.rows.setdefault(table, {})
        body = await request.read() or b''
        if not _holds(request, rows.get(key)):
            return Response(412)
        replaced = rows.get(key)
        if replaced is not None:
            store.before[f'{table}/{key}'] = replaced
        rows[key] = (body, store.next_tag())
        return _row(rows[key])

    async def delete_row(request: Request, table: str, key: str) -> Response:
        rows = store.rows.setdefault(table, {})
        if key not in rows:
            return Response(404)
        if not _holds(request, rows[key]):
            return Response(412)
        rows.pop(key)
        return Response(204)

    async def list_rows(request: Request, table: str) -> Response:
        prefix = (request.query.get('prefix') or [''])[0]
        rows = sorted(store.rows.get(table, {}).items())
        listed = [
            {
                'key': key,
                'content': base64.b64encode(row[0]).decode(),
                'etag': row[1],
            }
            for key, row in rows
            if key.startswith(prefix)
        ]
        return _json(listed)

    app.router.add_get('/tables/{table}', list_rows)
    app.router.add_get('/tables/{table}/{key}', get_row)
    app.router.add_put('/tables/{table}/{key}', put_row)
    app.router.add_delete('/tables/{table}/{key}', delete_row)


def _route_objects(app: Application, store: Store) -> None:
    async def get_object(bucket: str, key: str) -> Response:
        body = store.objects.get(f'{bucket}/{key}')
        if body is None:
            return Response(404)
        return Response(200, content=Content(b'application/octet-stream', body))

    async def put_object(request: Request, bucket: str, key: str) -> Response:
        store.objects[f'{bucket}/{key}'] = await request.read() or b''
        return Response(200)

    app.router.add_get('/objects/{bucket}/{key}', get_object)
    app.router.add_put('/objects/{bucket}/{key}', put_object)


def _route_faults(app: Application, faults: Faults) -> None:
    async def set_faults(request: Request) -> Response:
        for name, setting in json.loads(await request.read() or b'{}').items():
            setattr(faults, name, setting)
        return _json(vars(faults))

    async def get_faults() -> Response:
        return _json(vars(faults))

    app.router.add_post('/faults', set_faults)
    app.router.add_get('/faults', get_faults)


def _holds(request: Request, row: tuple[bytes, str] | None) -> bool:
    if request.get_first_header(b'if-none-match') == b'*':
        return row is None
    wanted = request.get_first_header(b'if-match')
    if wanted is None:
        return True
    return row is not None and row[1].encode() == wanted


def _row(row: tuple[bytes, str]) -> Response:
    content = Content(b'application/octet-stream', row[0])
    return Response(200, [(b'etag', row[1].encode())], content)


def _json(document: Any) -> Response:
    encoded = json.dumps(document).encode()
    return Response(200, content=Content(b'application/json', encoded))


def serve(port: int, ip: str = '127.0.0.1') -> None:
    """Serve until stopped."""
    app = make_application(Store(), Faults())
    uvicorn.run(app, host=ip, port=port, loop='asyncio', log_level='error')


if __name__ == '__main__':
    fire.Fire(serve)
