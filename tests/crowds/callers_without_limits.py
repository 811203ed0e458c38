#!/usr/bin/env python3
"""Lets a crowd of callers that keep to no limits press on one entry host, and checks that its process
lives, that its memory and its open descriptors stay within those of its machine, and that ordinary
requests are answered while the crowd stays connected.

The targets, the store and the callers are stand-ins in this process. The program ends only processes
that it started. It checks no times and no shares of served requests.
"""
import argparse
import asyncio
import json
import os
import random
import socket
import sys
import tempfile
import threading
import time

for folder in ("../soak", "../../scripts"):
    sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), folder))
from fault_soak import Host, Record, listen, pick_ports  # noqa: E402
from fleet import Fleet  # noqa: E402
from standins import Store, TargetStandIn, format_message, read_head  # noqa: E402

# The machine as the test's settings state it, and the largest body of its configuration.
MEMORY_MB, MAX_FDS = 64, 400
MAX_BODY = 1 << 20
# Of the descriptors, the platform reserves this many for files; sockets and pipes share the rest.
FILE_DESCRIPTORS = 200
CROWD, IDLE_CROWD = 150, 500
# Size of a body that the host buffers whole, and of a response that it buffers whole.
BUFFERED_BODY, LARGE_RESPONSE = 500_000, 480_000
# Buffers of the crowd's sockets: for sending, and for a response that is not read. Time between the
# requests of callers that read no response, so that targets have slots for all of them.
SEND_BUFFER, CALLER_BUFFER, REQUEST_INTERVAL_S = 32 * 1024, 4096, 0.02
FAR_OVER_LIMIT, SENT_OVER_LIMIT = 64 << 20, 3 << 20
PIECE, LARGE_CHUNK, SMALL_CHUNK = 16 * 1024, 256 * 1024, 64
# An ordinary request with a body may be told to come back, which it does this often.
ORDINARY_BODY, ORDINARY_TRIES = 60_000, 10
# The crowd counts as having sent all that it can when nothing more was taken for this long, and the
# process has used less than this part of a processor meanwhile.
CALM_S, CALM_LOAD, MAX_CROWD_S = 1.5, 0.2, 90
TIMEOUT_MS = 4000


def chunked(size, chunk):
    piece = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    return piece * (size // chunk)


def post(path, framing):
    return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
            f"Request-Deadline-Ms: {TIMEOUT_MS}\r\n{framing}\r\n\r\n")


LENGTH, CHUNKED = f"Content-Length: {MAX_BODY}", "Transfer-Encoding: chunked"
# For each crowd: the head of its requests, the body that follows, and the size of the pieces in
# which the body is sent; all callers send one piece in turn.
CROWDS = {
    "whole": (post("/big/x", LENGTH), b"x" * (MAX_BODY - 1), MAX_BODY),
    "pieces": (post("/big/x", LENGTH), b"x" * (MAX_BODY - 1), PIECE),
    "chunked_large": (post("/big/x", CHUNKED), chunked(MAX_BODY, LARGE_CHUNK), MAX_BODY),
    "chunked_small": (post("/big/x", CHUNKED), chunked(BUFFERED_BODY, SMALL_CHUNK), BUFFERED_BODY),
    "announced_over": (post("/big/x", f"Content-Length: {FAR_OVER_LIMIT}"),
                       b"x" * SENT_OVER_LIMIT, MAX_BODY),
    "endless": (post("/big/x", CHUNKED), chunked(SENT_OVER_LIMIT, LARGE_CHUNK), MAX_BODY),
    # No route takes these requests.
    "refused": (post("/nowhere/x", f"Content-Length: {BUFFERED_BODY}"),
                b"x" * (BUFFERED_BODY - 1), BUFFERED_BODY),
    # Complete requests, whose target reads no body.
    "unread_by_target": (post("/deaf/x", f"Content-Length: {BUFFERED_BODY}"),
                         b"x" * BUFFERED_BODY, BUFFERED_BODY),
    # Complete requests, whose callers read no response.
    "unread_by_caller": (f"GET /large/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                         f"Request-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n", b"", 1),
    "idle": ("", b"", 1),
}
# The same against endivedockd, whose requests have other paths.
DAEMON_SERVICES = [("bergvik/quote-archive", 2, 8), ("bergvik/cad-intake", 2, 8),
                   ("bergvik/steel-reservation", 2, 8)]
DAEMON_CROWDS = {
    "daemon_whole": (f"PUT /bergvik/cad-intake/drawings/1 HTTP/1.1\r\nHost: h.example\r\n{LENGTH}\r\n\r\n",
                     b"x" * (MAX_BODY - 1), MAX_BODY),
    "daemon_idle": CROWDS["idle"],
}


class BigTarget(TargetStandIn):
    """A target that never answers a chunked request, as no request of the crowd has an end."""

    async def answer(self, head, body):
        if "transfer-encoding" in head[1]:
            raise ConnectionError("a chunked request")
        return await super().answer(head, body)


class LargeTarget(TargetStandIn):
    """A target whose responses are large."""

    async def answer(self, head, body):
        if "/healthz" in head[0]:
            return await super().answer(head, body)
        return format_message(200, b"y" * LARGE_RESPONSE,
                              self.response_fields() + [("Request-Id", head[1]["request-id"]),
                                                        ("Response-Signature", "sig")])


class DeafTarget(TargetStandIn):
    """A target that answers health checks and reads nothing of other requests."""

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            while head := await read_head(reader):
                if "/healthz" not in head[0]:
                    reader._transport.pause_reading()  # pylint: disable=protected-access
                    await asyncio.sleep(3600)
                writer.write(await self.answer(head, b""))
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Watch:
    """Samples what one process holds: its resident memory, what its sockets hold, and descriptors.

    Received bytes that the process has not read yet count as its memory, as do bytes that it has
    written and the other side has not taken. /proc/net/tcp states both for each socket; sockets that
    are not accepted yet have no inode and are found by the host's address.
    """

    def __init__(self, host):
        self.pid, self.front = host.process.pid, host.front
        self.peak_kb = self.peak_resident_kb = self.peak_socket_kb = self.peak_descriptors = 0
        self.is_stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_stopping:
            try:
                self.sample()
            except (OSError, StopIteration):
                return  # The process has ended.
            time.sleep(0.05)

    def sample(self):
        with open(f"/proc/{self.pid}/status", encoding="utf8") as status:
            resident_kb = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
        inodes, descriptors = set(), 0
        for name in os.listdir(f"/proc/{self.pid}/fd"):
            try:
                link = os.readlink(f"/proc/{self.pid}/fd/{name}")
            except FileNotFoundError:
                continue
            descriptors += 1
            if link.startswith("socket:["):
                inodes.add(link[8:-1])
        ip = "".join(f"{int(part):02X}" for part in reversed(self.front[0].split(".")))
        front, held, listening = f"{ip}:{self.front[1]:04X}", 0, "0A"
        with open("/proc/net/tcp", encoding="utf8") as table:
            next(table)
            for line in table:
                row = line.split()
                if row[3] != listening and (row[1] == front or row[9] in inodes):
                    sent, received = row[4].split(":")
                    held += int(sent, 16) + int(received, 16)
        socket_kb = held // 1024
        self.peak_kb = max(self.peak_kb, resident_kb + socket_kb)
        self.peak_resident_kb = max(self.peak_resident_kb, resident_kb)
        self.peak_socket_kb = max(self.peak_socket_kb, socket_kb)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def stop(self):
        self.is_stopping = True
        self.thread.join()


class CrowdTest:
    """A crowd at endivedock-edge."""

    # Method and path of an ordinary request without a body, and with one.
    ordinary = [("GET", "/other/x"), ("POST", "/other/x")]

    def __init__(self, crowd, directory):
        self.head, self.body, self.piece = (CROWDS | DAEMON_CROWDS)[crowd]
        self.size = CROWD if self.head else IDLE_CROWD
        self.directory, self.store, self.host, self.watch = directory, Store(), None, None
        self.sockets, self.taken, self.last_taken_at = [], 0, time.monotonic()
        self.violations = []

    async def start(self):
        _, store_port = await listen(self.store.serve)
        kinds = {"big": BigTarget, "large": LargeTarget, "deaf": DeafTarget,
                 "other": TargetStandIn}
        resources = [{"resource_type": "limits", "metadata": {},
                      "spec": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY,
                               "header_timeout_ms": 3000, "idle_timeout_ms": 60000}}]
        for name, kind in kinds.items():
            target = kind(f"i-{name}", name, "a", Record(), random.Random(1))
            target.slots = 16
            target.free_slots = asyncio.Semaphore(target.slots)
            _, port = await listen(target.serve)
            target.address = f"127.0.0.1:{port}"
            await self.store.put(f"servers/i-{name}", target.registry_entry())
            resources.append({"resource_type": "routes", "metadata": {"name": name},
                              "spec": {"host": "h.example", "prefix": f"/{name}/", "kind": "safe",
                                       "timeout_ms": TIMEOUT_MS, "priority": 1, "service": name,
                                       "target_latency_ms": 300, "attempts": 1}})
            resources.append({"resource_type": "services", "metadata": {"name": name},
                              "spec": {"health_path": "/healthz", "max_connections": 260,
                                       "warmup_s": 0, "warmup_per_s": 100}})
        await self.store.put("op/config", json.dumps({"version": "r1", "resources": resources}))
        self.host = Host(0, store_port, self.directory, pick_ports())
        self.host.settings["limits"] = {"cpu_share": 1, "cpu_cores": 1, "memory_mb": MEMORY_MB,
                                        "max_fds": MAX_FDS}
        self.host.start()

    # --- The crowd ---

    async def connect(self):
        connection = socket.socket()
        # What the caller's own socket holds has not been taken by the host.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        if not self.body:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER)
        connection.setblocking(False)
        self.sockets.append(connection)
        await asyncio.get_running_loop().sock_connect(connection, self.host.front)
        return connection

    async def send(self, connection, data):
        """Sends as much of @p data as the host takes, and notes how much that is."""
        view = memoryview(data)
        while view:
            try:
                count = connection.send(view[:65536])
            except BlockingIOError:
                await asyncio.sleep(0.01)
                continue
            self.taken += count
            self.last_taken_at = time.monotonic()
            view = view[count:]
            await asyncio.sleep(0)

    async def run_caller(self, number):
        try:
            connection = await self.connect()
            if self.head and not self.body:
                await asyncio.sleep(number * REQUEST_INTERVAL_S)
            await self.send(connection, (self.head.replace("%s", f"c{number:04d}")).encode())
            for start in range(0, len(self.body), self.piece):
                await self.send(connection, self.body[start:start + self.piece])
            await asyncio.sleep(3600)
        except OSError:
            pass  # The host may refuse such a caller and close its connection.

    def processor_seconds(self):
        with open(f"/proc/{self.host.process.pid}/stat", encoding="utf8") as stat:
            times = stat.read().rsplit(")", 1)[1].split()[11:13]
        return sum(int(ticks) for ticks in times) / os.sysconf("SC_CLK_TCK")

    async def run_crowd(self):
        """Returns when the host takes nothing more of what the crowd sends."""
        tasks = [asyncio.create_task(self.run_caller(number)) for number in range(self.size)]
        self.last_taken_at = time.monotonic()
        ends_at = self.last_taken_at + MAX_CROWD_S
        is_calm = False
        while not is_calm and time.monotonic() < ends_at and self.host.process.poll() is None:
            used = self.processor_seconds()
            await asyncio.sleep(CALM_S)
            used = self.processor_seconds() - used
            is_calm = used < CALM_LOAD * CALM_S and \
                time.monotonic() > self.last_taken_at + CALM_S
        return tasks

    # --- Ordinary callers ---

    async def call(self, body=None):
        """Returns the status of one ordinary request, or None if there was no response."""
        try:
            reader, writer = await asyncio.open_connection(*self.host.front)
        except OSError:
            return None
        method, path = self.ordinary[0 if body is None else 1]
        length = "" if body is None else f"Content-Length: {len(body)}\r\n"
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: o{random.random()}\r\n"
                          f"Request-Deadline-Ms: {TIMEOUT_MS}\r\nIdempotency-Key: {random.random()}\r\n"
                          f"{length}\r\n").encode() + (body or b""))
            head = await asyncio.wait_for(read_head(reader), 3 * TIMEOUT_MS / 1000)
            if head is None:
                return None
            await reader.readexactly(int(head[1].get("content-length", 0)))
            return int(head[0].split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None
        finally:
            writer.close()

    async def check_ordinary(self, when):
        status = await self.call()
        if status != 200:
            self.violations.append(f"{when}: a request without a body got {status}")
        for _ in range(ORDINARY_TRIES):
            status = await self.call(b"x" * ORDINARY_BODY)
            if status == 200:
                return
            await asyncio.sleep(1)
        self.violations.append(f"{when}: a request of {ORDINARY_BODY} bytes got {status} at last")

    async def run(self):
        await self.start()
        for _ in range(40):
            if await self.call() == 200 and await self.call(b"x" * MAX_BODY) == 200:
                break
            await asyncio.sleep(0.25)
        else:
            self.violations.append("a single request of the largest size is not served")
        self.watch = Watch(self.host)
        tasks = await self.run_crowd()
        await self.check_ordinary("while the crowd stays")
        for task in tasks:
            task.cancel()
        for connection in self.sockets:
            connection.close()
        await asyncio.sleep(0.5)
        await self.check_ordinary("after the crowd")
        self.watch.stop()
        self.check()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return self.violations

    def check(self):
        watch = self.watch
        print(f"  {self.taken >> 20} MB taken; at most {watch.peak_kb >> 10} MB of memory, "
              f"{watch.peak_resident_kb >> 10} resident and {watch.peak_socket_kb >> 10} in sockets, "
              f"{watch.peak_descriptors} descriptors")
        if watch.peak_kb > MEMORY_MB * 1024:
            self.violations.append(f"{watch.peak_kb >> 10} MB of memory, {MEMORY_MB} allowed")
        if watch.peak_descriptors > MAX_FDS - FILE_DESCRIPTORS:
            self.violations.append(f"{watch.peak_descriptors} descriptors, "
                                   f"{MAX_FDS - FILE_DESCRIPTORS} allowed")
        if self.host.process.poll() is not None:
            self.violations.append(f"the process ended with {self.host.process.returncode}")

    def stop(self):
        if self.host and self.host.process and self.host.process.poll() is None:
            self.host.process.kill()
            self.host.process.wait()


class LimitedFleet(Fleet):
    """A fleet whose hosts' settings state the machine's limits."""

    def settings(self, number):
        return super().settings(number) | {"memoryMb": MEMORY_MB, "maxDescriptors": MAX_FDS}


class DaemonHost:
    """What the tests need of an endivedockd of a fleet."""

    def __init__(self, fleet):
        self.process, self.log = fleet.processes["host1"], os.path.join(fleet.dir, "host1.log")
        ip, port = fleet.hosts[1]["listen"].split(":")
        self.front = (ip, int(port))


class DaemonCrowdTest(CrowdTest):
    """A crowd at endivedockd."""

    ordinary = [("GET", "/bergvik/quote-archive/quotes/7"),
                ("POST", "/bergvik/steel-reservation/blocks")]

    async def start(self):
        self.fleet = LimitedFleet(hosts=1, services=DAEMON_SERVICES)
        await asyncio.to_thread(self.fleet.start, ["bergvik"])
        self.host = DaemonHost(self.fleet)

    def stop(self):
        self.fleet.stop()


def run_crowd(name, keep_logs):
    print(f"{name}:", flush=True)
    with tempfile.TemporaryDirectory() as directory:
        test = (CrowdTest if name in CROWDS else DaemonCrowdTest)(name, directory)
        try:
            violations = asyncio.run(test.run())
        finally:
            test.stop()
        for text in violations:
            print(f"  BROKEN {text}")
        if keep_logs:
            path = os.path.join(tempfile.gettempdir(), f"endivedock-crowd-{name}.log")
            os.replace(test.host.log, path)
            print(f"  the log is {path}")
    return not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("crowds", nargs="*", metavar="CROWD",
                        help="crowds to run; default: all of " + ", ".join(CROWDS | DAEMON_CROWDS))
    parser.add_argument("--keep-logs", action="store_true")
    arguments = parser.parse_args()
    names = arguments.crowds or list(CROWDS | DAEMON_CROWDS)
    failed = [name for name in names if not run_crowd(name, arguments.keep_logs)]
    print(f"{len(names) - len(failed)} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
