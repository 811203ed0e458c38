#!/usr/bin/env python3
"""Lets the load generator talk to a server that sends sound or broken responses, and checks what it
counts them as.
"""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from fault_soak import ROOT, listen  # noqa: E402
from standins import format_message, read_head  # noqa: E402

GENERATOR = os.path.join(ROOT, "build", "tools", "load_generator")


def answer(echo, status=200):
    return format_message(status, json.dumps({"echo": echo}).encode())


# For each kind: the response to a request, and the count that all responses of this kind belong to.
KINDS = {
    "sound": (answer, "answered"),
    "until_close": (lambda echo: answer(echo).replace(b"Content-Length", b"Former-Length"),
                    "answered"),
    "interim": (lambda echo: b"HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n" + answer(echo), "answered"),
    "surplus": (lambda echo: answer(echo) + answer(echo), "answered"),
    "status_000": (lambda echo: answer(echo, "000"), "failed"),
    "folded": (lambda echo: answer(echo).replace(b"X\r\n", b"X\r\nName: x\r\n y\r\n", 1), "failed"),
    "cut_off": (lambda echo: answer(echo)[:-3], "truncated"),
    "no_json": (lambda echo: answer(echo).replace(b"{", b"["), "wrongAnswers"),
}
CLOSED_KINDS = ("until_close", "cut_off")
COUNTS = ("answered", "refused", "failed", "wrongAnswers", "truncated")


class Server:
    def __init__(self, response, closes):
        self.response, self.closes, self.request_count = response, closes, 0

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                self.request_count += 1
                writer.write(self.response(head[1]["request-echo"]))
                await writer.drain()
                if self.closes:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


async def run_case(kind):
    response, expected = KINDS[kind]
    server = Server(response, kind in CLOSED_KINDS)
    _, port = await listen(server.serve)
    process = await asyncio.create_subprocess_exec(
        GENERATOR, "--direct", "--host", f"127.0.0.1:{port}", "--service", "t/s,rate=100",
        "--seconds", "1", stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)
    output, _ = await process.communicate()
    counted = json.loads(output.decode().splitlines()[-1])
    counts = {name: counted[name] for name in COUNTS if counted[name]}
    is_right = counts == {expected: server.request_count} and server.request_count > 0
    should_succeed = expected == "answered"
    print(f"  {kind}: {server.request_count} requests, {counts}, exit code {process.returncode}")
    return is_right and (process.returncode == 0) == should_succeed


async def main():
    failed = [kind for kind in sys.argv[1:] or KINDS if not await run_case(kind)]
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    print(f"{len(sys.argv[1:] or KINDS) - len(failed)} passed, {len(failed)} failed")
    for kind in failed:
        print(f"  BROKEN {kind}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
