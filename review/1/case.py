"""Uploads with a body in chunks, on connections that are kept open."""

import asyncio
import contextlib
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stage as staging

FOLDER = Path(__file__).parent
# Within the uploads of the users' site: 60,000 bytes on average, 360,000 at most.
BODY_BYTES = 300_000
CHUNK_BYTES = 4096
# The client writes this much a chunk at a time as it reads it, then the rest.
SLOW_BYTES = 100_000
PAUSE_S = 0.002
UPLOADS = 24
DEADLINE_MS = 1200
ROUTES = (
    ('/get/', 'media', 'idempotent', '1200ms', 2),
    ('/up/', 'media', 'upload', '1200ms', 2),
)


async def upload(stage, server, number, in_chunks):
    """Send a lookup and then an upload on one connection.

    Returns the id of the upload, and its status 0 if the connection ended without an
    answer, or -1 if there was none in time.
    """
    body = random.Random(number).randbytes(BODY_BYTES)
    lookup_id, upload_id = f'lookup-{number}', f'upload-{number}'
    reader, writer = await asyncio.open_connection(
        server.ip, staging.CALLER_PORT
    )
    try:
        writer.write(_head('GET', '/get/a', lookup_id, ''))
        first = await staging.read_answer(reader)
        stage.record('answered', id=lookup_id, status=first.status)
        framing = f'Content-Length: {BODY_BYTES}'
        if in_chunks:
            framing = 'Transfer-Encoding: chunked'
        stage.record('sent', id=upload_id, node=server.ip, framing=framing)
        writer.write(_head('POST', '/up/a', upload_id, framing))
        answered = asyncio.ensure_future(staging.read_answer(reader))
        rest = b''
        for start in range(0, BODY_BYTES, CHUNK_BYTES):
            part = body[start : start + CHUNK_BYTES]
            if in_chunks:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            if start >= SLOW_BYTES:
                rest += part
                continue
            writer.write(part)
            await asyncio.sleep(PAUSE_S)
        writer.write(rest + (b'0\r\n\r\n' if in_chunks else b''))
        async with asyncio.timeout(DEADLINE_MS / 1000 + 2):
            answer = await answered
        stage.record('answered', id=upload_id, status=answer.status)
        return upload_id, answer.status
    except TimeoutError:
        # The connection was not closed, which is another matter.
        stage.record('no answer in time', id=upload_id)
        return upload_id, -1
    except (OSError, EOFError) as error:
        stage.record('no answer', id=upload_id, reason=repr(error))
        return upload_id, 0
    finally:
        with contextlib.suppress(OSError):
            writer.close()


def _head(method, target, request_id, framing):
    lines = (
        f'{method} {target} HTTP/1.1',
        f'Host: {staging.HOST}',
        f'X-Carobmoor-Request-Id: {request_id}',
        f'X-Carobmoor-Deadline-Ms: {DEADLINE_MS}',
        *((framing,) if framing else ()),
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def case(with_trouble):
    stage = staging.Stage(FOLDER, ['media'] * 6, ROUTES)
    reached = set()
    record = stage.record

    def note(event, **fields):
        if event == 'head arrives':
            reached.add(fields['id'])
        return record(event, **fields)

    stage.record = note
    async with stage:
        outcomes = {}
        for number in range(UPLOADS):
            server = stage.servers[number % len(stage.servers)]
            upload_id, status = await upload(
                stage, server, number, in_chunks=with_trouble
            )
            outcomes[upload_id] = status
            await asyncio.sleep(0.3)
    lost = [one for one, status in outcomes.items() if not status]
    passed_on = [one for one in lost if one in reached]
    served = sum(status == 200 for status in outcomes.values())
    record(
        'judged', served=served, closed_without_answer=lost, passed_on=passed_on
    )
    print(
        f'{UPLOADS} uploads: {served} answered 200, {len(lost)} closed without '
        f'an answer, {len(passed_on)} of these passed on to a server '
        '(3 allowed)'
    )
    return len(passed_on) > 3


staging.run(case)
