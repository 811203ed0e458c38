#!/usr/bin/env python3
"""Lets a target send broken responses through one entry host, and sound ones that look alike, and
checks what callers get: a refusal for each broken response, the whole body for each sound one.

The target, the store and the callers are stand-ins in this process. The program ends only processes
that it started.
"""
import asyncio
import json
import os
import socket
import struct
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from fault_soak import Host, listen, pick_ports  # noqa: E402
from standins import Store, read_head  # noqa: E402

TIMEOUT_S = 5.0
# Time for the host to learn its configuration and its target.
START_S = 15.0
# The host streams an upload from 512 KiB on. The rest is sent while the target ends the connection.
UPLOAD_START, UPLOAD_REST = 700_000, 200_000
BODY = b"the whole body"
PART = BODY[:7]

FIELDS = b"Request-Id: %s\r\nResponse-Signature: sig\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)


def head(extra, status=b"200"):
    return b"HTTP/1.1 " + status + b" X\r\n" + FIELDS + extra + b"\r\n"


INNER = head(LENGTH) + BODY
# For each kind: the method, what the target sends, how it ends the connection, and whether the
# response is sound.
KINDS = {
    "reset_under_upload": ("POST", head(b"") + PART, "reset", False),
    "reset_under_upload_length": ("POST", head(LENGTH) + PART, "reset", False),
    "reset_under_upload_chunked":
        ("POST", head(b"Transfer-Encoding: chunked\r\n") + b"7\r\n" + PART + b"\r\n", "reset",
         False),
    "refusal_reset_under_upload":
        ("POST", head(b"Not-Executed: 1\r\n", b"503") + PART, "reset", False),
    "status_000": ("GET", head(LENGTH, b"000") + BODY, "close", False),
    "status_000_empty": ("GET", head(b"Content-Length: 0\r\n", b"000"), "keep", False),
    "status_000_around_a_response":
        ("GET", head(b"Content-Length: %d\r\n" % len(INNER), b"000") + INNER, "close", False),
    "blank_in_name": ("GET", head(b"Bad Name: x\r\n" + LENGTH) + BODY, "close", False),
    "blank_after_name": ("GET", head(b"Content-Length : 3\r\n") + BODY, "close", False),
    "blank_before_name":
        ("GET", head(b" Transfer-Encoding: chunked\r\n") + b"7\r\n" + PART + b"\r\n0\r\n\r\n",
         "close", False),
    "control_in_name": ("GET", head(b"Na\x01me: x\r\n" + LENGTH) + BODY, "close", False),
    "early_until_close": ("POST", head(b"") + BODY, "close", True),
    "early_with_length": ("POST", head(LENGTH) + BODY, "reset", True),
    "until_close": ("GET", head(b"") + BODY, "close", True),
    "interim": ("GET", b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + INNER, "keep", True),
}


class BrokenTarget:
    """Sends one response to each request, as soon as it has read the head."""

    def __init__(self):
        self.response, self.end, self.has_ended = b"", "keep", None

    def prepare(self, kind):
        _, self.response, self.end, _ = KINDS[kind]
        self.has_ended = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while request := await read_head(reader):
                if " /healthz" in request[0]:
                    writer.write(b"HTTP/1.1 200 OK\r\nInstance-Id: i-broken\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                    continue
                writer.write(self.response.replace(b"%s", request[1]["request-id"].encode()))
                await writer.drain()
                await asyncio.sleep(0.1)
                if self.end != "keep":
                    await self.end_connection(reader, writer)
                    return
                self.has_ended.set()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def end_connection(self, reader, writer):
        if self.end == "reset":
            option = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()
            await asyncio.sleep(0.1)
            self.has_ended.set()
            return
        writer.write_eof()
        self.has_ended.set()
        while await reader.read(1 << 16):
            pass


class BrokenResponsesTest:
    def __init__(self, directory):
        self.directory, self.store, self.target = directory, Store(), BrokenTarget()
        self.host, self.violations = None, []

    async def start(self):
        _, store_port = await listen(self.store.serve)
        _, port = await listen(self.target.serve)
        entry = {"address": f"127.0.0.1:{port}", "born": 1,
                 "info": {"service": "s1", "version": "v1", "zone": "a", "capacity": 16},
                 "status": {"state": "ready", "seq": 1, "warmup_left_ms": 0}}
        await self.store.put("servers/i-broken", json.dumps(entry))
        resources = [{"resource_type": "routes", "metadata": {"name": "a"},
                      "spec": {"host": "h.example", "prefix": "/", "kind": "unsafe",
                               "timeout_ms": int(TIMEOUT_S * 1000), "priority": 1,
                               "target_latency_ms": 300, "service": "s1", "attempts": 1}},
                     {"resource_type": "services", "metadata": {"name": "s1"},
                      "spec": {"health_path": "/healthz", "max_connections": 260,
                               "warmup_s": 0, "warmup_per_s": 100}},
                     {"resource_type": "limits", "metadata": {},
                      "spec": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}]
        await self.store.put("op/config", json.dumps({"version": "r1", "resources": resources}))
        self.host = Host(0, store_port, self.directory, pick_ports())
        self.host.start()
        ready_by = time.monotonic() + START_S
        while not await self.is_ready():
            if time.monotonic() > ready_by:
                raise TimeoutError("the host serves no request")
            await asyncio.sleep(0.1)

    async def is_ready(self):
        self.target.prepare("until_close")
        try:
            return (await self.call("GET", "q-ready"))[0] == 200
        except ConnectionError:
            return False

    async def send(self, writer, method, request_id):
        length = UPLOAD_START + UPLOAD_REST if method == "POST" else 0
        writer.write((f"{method} /x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                      f"Connection: close\r\nContent-Length: {length}\r\n\r\n").encode())
        if method == "POST":
            writer.write(b"x" * UPLOAD_START)
            await asyncio.wait_for(self.target.has_ended.wait(), TIMEOUT_S)
            writer.write(b"x" * UPLOAD_REST)
        await writer.drain()

    async def call(self, method, request_id):
        """Returns the status and the body of the response, and whether it arrived as a whole."""
        reader, writer = await asyncio.open_connection(*self.host.front)
        body, is_whole = b"", False
        try:
            await self.send(writer, method, request_id)
            response = await read_head(reader)
            if response is None:
                return 0, body, False
            status = int(response[0].split(" ")[1])
            if "content-length" in response[1]:
                body = await reader.readexactly(int(response[1]["content-length"]))
            else:
                body = await reader.read(-1)
            is_whole = True
        except asyncio.IncompleteReadError as error:
            body = error.partial
        except (ConnectionError, asyncio.TimeoutError):
            return 0, body, False
        finally:
            writer.close()
        return status, body, is_whole

    async def run(self, kinds):
        await self.start()
        for kind in kinds:
            method, _, _, is_sound = KINDS[kind]
            self.target.prepare(kind)
            started_at = time.monotonic()
            status, body, is_whole = await self.call(method, f"q-{kind}")
            print(f"  {kind}: {status}, {len(body)} bytes, {time.monotonic() - started_at:.2f} s")
            self.check(kind, is_sound, status, body, is_whole)
        if self.host.process.poll() is not None:
            self.violations.append("the host exited")
        # The stand-ins are still at work when the loop ends.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return self.violations

    def check(self, kind, is_sound, status, body, is_whole):
        if is_sound and (status, body, is_whole) != (200, BODY, True):
            self.violations.append(f"{kind}: the response was not served: {status} {body[:200]}")
        elif not is_sound and (status != 502 or PART in body or not is_whole):
            self.violations.append(f"{kind}: no refusal: {status} {body[:200]}")

    def stop(self):
        if self.host and self.host.process and self.host.process.poll() is None:
            self.host.process.kill()
            self.host.process.wait()


def main():
    kinds = sys.argv[1:] or list(KINDS)
    with tempfile.TemporaryDirectory() as directory:
        test = BrokenResponsesTest(directory)
        try:
            violations = asyncio.run(test.run(kinds))
        finally:
            test.stop()
    for text in violations:
        print(f"  BROKEN {text}")
    print(f"{len(kinds) - len(violations)} passed, {len(violations)} failed")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
