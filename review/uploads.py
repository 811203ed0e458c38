"""Clients that upload long bodies."""
import asyncio

from standins import digest, read_head

DEADLINE_MS = 1200
PIECE_BYTES = 32 * 1024


async def upload(deployment, host, body, chunked):
    """Uploads a body on a connection of its own, as its client is free to do, and reads the answer.

    The client sends the whole body before it reads, and then waits for the answer.
    """
    deployment.next_id += 1
    request_id = f"u{deployment.next_id:06d}"
    entry = deployment.sent[request_id] = {"body": body, "status": None}
    deployment.record.write("sent", request=request_id, host=host.name, line="POST:/u/part",
                            body_bytes=len(body), body_hash=digest(body))
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host.ip, deployment.front), 1)
    except (OSError, asyncio.TimeoutError):
        entry["status"] = "not-connected"
        return
    try:
        writer.write(f"POST /u/part HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                     f"Request-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n".encode())
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start:start + PIECE_BYTES]
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n" if chunked else piece)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 3)
        if head is not None:
            await reader.readexactly(int(head[1].get("content-length", 0)))
            entry["status"] = int(head[0].split()[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    entry["status"] = entry["status"] or "closed"
    deployment.record.write("answered", request=request_id, host=host.name, status=entry["status"])
