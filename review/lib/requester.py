"""A stand-in for requesters, after PROTOCOL.md."""

import asyncio
import itertools
import time

import wire

numbers = itertools.count(1)


class Answer:
    """What a requester saw of one attempt; status 0: the connection ended."""

    def __init__(self, request_id, sent, status, body=b"", fields=None):
        self.id = request_id
        self.sent = sent
        self.status = status
        self.body = body
        self.fields = fields or {}


def new_id():
    return f"{next(numbers):016x}"


async def ask(record, host, method, target, domain, timeout_ms, body=b""):
    """One attempt on a connection of its own."""
    request_id = new_id()
    sent = time.monotonic()
    record("sent", request_id, host.name, method, target)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host.ip, host.front), 1
        )
        writer.write(
            wire.request(
                method,
                target,
                {
                    "Host": domain,
                    "Request-Id": request_id,
                    "Request-Timeout-Ms": timeout_ms,
                },
                body,
            )
        )
        status, fields, body = await asyncio.wait_for(
            wire.read_response(reader), timeout_ms / 1000 + 1
        )
        answer = Answer(request_id, sent, status, body, fields)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer = Answer(request_id, sent, 0)
    finally:
        if writer:
            writer.close()
    record("answered", request_id, answer.status)
    return answer
