"""HTTP/1.1 as the stand-ins speak it."""

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
MAX_HEAD = 64 * 1024


async def read_head(reader):
    """Returns the start line and the fields, or None at the end of input."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except Exception:  # the peer closed or reset the connection
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readline()


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_request(reader, with_body=True):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = await read_body(reader, head[1]) if with_body else b""
    return {"method": method, "target": target, "fields": head[1], "body": body}


async def read_response(reader):
    """Returns the status, fields and body; raises when it is incomplete."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("the connection ended before an answer")
    status = int(head[0].split(" ")[1])
    return status, head[1], await read_body(reader, head[1])


def response(status, body, fields=None):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
