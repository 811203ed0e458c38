"""Stand-ins for the scripts of the second review: the platform's store, workers, clients, and a
small deployment of entry hosts as separate processes.

Everything listens on loopback addresses. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
EDGE = os.path.join(ROOT, "target", "daemons", "endivedock-edge")

# Settings as on the sheet of bergvik-quotes.
BOUNDS = ["seed_lag_s=3", "reuse_after_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4",
          "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000",
          "rollback_slack_ms=250", "outer_ms=5000", "retry_budget_ratio=0.2", "budget_window_s=10",
          "budget_min_retries=62", "expose_share=0.1", "expose_slack=50", "rollback_ms=5000",
          "warmup_overshoot=1.5", "warmup_slack=5", "evacuate_ms=5000", "recovery_s=15",
          "probes_per_s=60"]
ZONES = ["se-west-a", "se-west-b"]
CONTACT_S, DRAIN_S, CONFIG_S = 3.0, 2.0, 2.0


def is_disturbed():
    """Returns whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(taken=set()):  # All calls share the set, so that no port is returned twice.
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the first line and the fields by lower-case name, or None at the end of the stream."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Returns the body of a message with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def message(status, body=b"", fields=()):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keys with revisions, conditional writes, watches and leases."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.revision, self.compacted = {}, [], 10, 10
        self.changed = asyncio.Event()
        self.watches, self.leases, self.lease_count = set(), {}, 0
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Returns the time of the acknowledgement."""
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self.history.append((self.revision, key, value))
        self.wake()
        self.record.write(f"store put {key} revision={self.revision}")
        return time.monotonic()

    def remove(self, key):
        """Returns the time of the acknowledgement."""
        self.items.pop(key)
        self.revision += 1
        self.history.append((self.revision, key, None))
        self.wake()
        self.record.write(f"store remove {key} revision={self.revision}")
        return time.monotonic()

    def cut_watches(self):
        """Ends the connections on which a watch waits; all other calls go on."""
        count = len(self.watches)
        for writer in list(self.watches):
            writer.close()
        self.record.write(f"store cut {count} waiting watches")
        return count

    @staticmethod
    def item(key, value, revision, created):
        return {"key": key, "value": base64.b64encode(value.encode()).decode(),
                "revision": revision, "created_rev": created, "lease": 0}

    def event(self, revision, key, value):
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return self.item(key, value, revision, revision)

    async def watch(self, query, writer):
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        prefix = query.get("prefix", "")
        if after < self.compacted and after < self.revision:
            return 410, {}
        while True:
            events = [self.event(*entry) for entry in self.history
                      if entry[0] > after and entry[1].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            self.watches.add(writer)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            self.watches.discard(writer)
            if writer.is_closing():
                raise ConnectionError("watch was cut")

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.item(key, *self.items[key]) for key in keys[:500]]
        return 200, {"items": page, "has_more": len(keys) > 500, "as_of": self.revision}

    def transact(self, body):
        found = {row["key"]: self.items.get(row["key"]) for row in body["expected"]}
        if any((found[row["key"]] or (None, 0))[1] != row["revision"] for row in body["expected"]):
            return 412, {"items": [self.item(key, *item) for key, item in found.items() if item]}
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]).decode())
        for key in body.get("remove", []):
            if key in self.items:
                self.remove(key)
        return 200, {"revision": self.revision}

    async def answer(self, line, body, writer):
        method, target, _ = line.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/kv-watch":
            return await self.watch(query, writer)
        await asyncio.sleep(0.004)
        if url.path == "/-/kv-range":
            return self.range(query)
        if url.path == "/-/kv-key":
            found = self.items.get(query["key"])
            return (200, self.item(query["key"], *found)) if found else (404, {})
        if url.path == "/-/kv-txn":
            return self.transact(json.loads(body))
        if url.path == "/-/kv-lease":
            self.lease_count += 1
            return 200, {"lease": self.lease_count, "ttl_ms": json.loads(body)["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/") or method == "DELETE":
            return 200, {"ttl_ms": 3000}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                status, answer = await self.answer(head[0], body, writer)
                writer.write(message(status, json.dumps(answer).encode(),
                                     [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()


class Worker:
    """One worker with slots and a queue. It drops a request when its connection closes."""

    def __init__(self, worker_id, service, zone, record, work_s=0.04, slots=4):
        self.id, self.service, self.zone, self.record = worker_id, service, zone, record
        self.work_s, self.slots, self.running, self.waiting = work_s, slots, 0, 0
        self.free = asyncio.Semaphore(slots)
        # Times of arrival, of the end of the work, and how it ended, by request id.
        self.runs = {}
        self.address, self.born, self.writers = None, 0, set()
        self.crash_path, self.on_crash = None, None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.born = int(time.time() * 1000)

    def crash(self):
        """Ends the worker as a crash does: its connections are reset and it listens no more.

        Returns whether it ran before.
        """
        if not self.server.is_serving():
            return False
        self.record.write(f"worker {self.id} crashes")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        return True

    def entry(self, state="ready"):
        return json.dumps({"address": self.address, "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.zone,
                                    "capacity": self.slots},
                           "status": {"state": state, "seq": 1, "warmup_left_ms": 0}})

    def fields(self):
        return [("Server-Load", f"{self.running},{self.waiting},{self.slots},100"),
                ("Keep-Alive", "timeout=10")]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                answer = await self.answer(head, body, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def answer(self, head, body, reader):
        line, fields = head
        if line.startswith("GET /healthz"):
            return message(200, b"", self.fields() + [("Instance-Id", self.id)])
        request_id = fields.get("request-id")
        echo = self.fields() + [("Request-Id", request_id)]
        if fields.get("target-instance", self.id) != self.id:
            return message(421, b"", echo + [("Instance-Id", self.id)])
        if self.waiting >= 8:
            return message(503, b"", echo + [("Not-Executed", "1")])
        self.runs[request_id] = [time.monotonic(), None, None, line]
        self.record.write(f"worker {self.id} gets {request_id}")
        if self.crash_path and f" {self.crash_path} " in line:
            await asyncio.sleep(self.work_s / 2)
            self.on_crash(self, request_id, self.crash())
            return None
        work = asyncio.ensure_future(self.work())
        # A worker has one request at a time on a connection, so data here is the end of it.
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([work, closed], return_when=asyncio.FIRST_COMPLETED)
        is_done = work.done()
        for task in (work, closed):
            task.cancel()
        await asyncio.wait([work, closed])
        self.runs[request_id][1:3] = [time.monotonic(), "done" if is_done else "dropped"]
        self.record.write(f"worker {self.id} {'ends' if is_done else 'drops'} {request_id}")
        if not is_done:
            return None
        text = f"{request_id} {self.service} {len(body)}".encode()
        return message(200, text, echo + [("Response-Signature", f"sig-{self.id}-{request_id}")])

    async def work(self):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()


class Host:
    """One entry host. Each has an address of its own, and all have the same ports."""

    def __init__(self, number, ports, store_port, folder, is_bootstrap=True):
        self.number, self.process = number, None
        self.ip, self.zone = self.address_of(number), ZONES[number % len(ZONES)]
        front, ready, control, internal = ports
        self.front, self.ready = (self.ip, front), (self.ip, ready)
        self.path = os.path.join(folder, f"host{number}.json")
        self.log = os.path.join(folder, f"host{number}.log")
        self.settings = {
            "node_name": f"edge-{self.zone}-{number}", "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": self.ip, "zone": self.zone, "region": "se-west",
            "zones": {zone: "se-west" for zone in ZONES},
            "listen": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}",
                       "control": f"{self.ip}:{control}"},
            "internal_port_range": [internal, internal + 1],
            "seeds": [f"{self.address_of(seed)}:{control}" for seed in range(3)],
            "bootstrap": is_bootstrap, "in_failure_budget": False,
            "limits": {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health",
                          "places", "rollout", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "provider": {"address": f"127.0.0.1:{store_port}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000}}

    @staticmethod
    def address_of(number):
        return f"127.0.0.{number + 11}"

    def start(self):
        with open(self.path, "w", encoding="utf8") as file:
            json.dump(self.settings, file)
        environment = {"PATH": os.environ.get("PATH", ""), "ENDIVEDOCK_CONFIG": self.path}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([EDGE], cwd=ROOT, env=environment, stdout=log,
                                            stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """Store, workers and entry hosts; ends all processes that it started."""

    def __init__(self, folder, host_count=4):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="endivedock-review-")
        self.store, self.workers, self.hosts = Store(self.record), [], []
        self.host_count = host_count

    def add_worker(self, number, service, zone, **options):
        worker = Worker(f"i-{number:08x}", service, zone, self.record, **options)
        self.workers.append(worker)
        return worker

    def put_configuration(self, version, routes):
        """`routes` has rows of name, kind, service, timeout and objective; the prefix is the name."""
        resources = [{"resource_type": "routes", "metadata": {"name": f"r-{name}"},
                      "spec": {"host": "hulo84.example", "prefix": f"/{name}/", "kind": kind,
                               "timeout_ms": timeout_ms, "target_latency_ms": objective_ms,
                               "priority": 1, "service": service, "attempts": 2}}
                     for name, kind, service, timeout_ms, objective_ms in routes]
        resources += [{"resource_type": "services", "metadata": {"name": service},
                       "spec": {"health_path": "/healthz", "max_connections": 260,
                                "protocol": "h1", "tls": False, "warmup_s": 3.0,
                                "warmup_per_s": 18.0}}
                      for service in sorted({route[2] for route in routes})]
        resources.append({"resource_type": "limits", "metadata": {},
                          "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        return self.store.put("op/config", json.dumps({"version": version,
                                                       "resources": resources}))

    async def start(self, version, routes):
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.store.put(f"servers/{worker.id}", worker.entry())
        self.put_configuration(version, routes)
        ports = [free_port() for _ in range(4)]
        for number in range(self.host_count):
            self.hosts.append(Host(number, ports, self.store.port, self.folder))
            self.hosts[-1].start()
        end = time.monotonic() + 15
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end or host.process.poll() is not None:
                    raise RuntimeError(f"host {host.number} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all hosts are ready")

    def stop(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def request_text(method, path, request_id, deadline_ms, body=b""):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: {request_id}\r\n"
            f"Request-Deadline-Ms: {deadline_ms}\r\n{length}\r\n").encode() + body


class Client:
    """Sends one request after another on a connection that it keeps."""

    def __init__(self, deployment, host, name):
        self.deployment, self.host, self.name = deployment, host, name
        self.reader = self.writer = None
        self.count = 0

    async def call(self, method, path, deadline_ms, body=b""):
        """Returns the request's id, and the status or None if there was no answer."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        record = self.deployment.record
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.host.front), 1)
            record.write(f"client sends {request_id} {method} {path} to host {self.host.number}")
            self.writer.write(request_text(method, path, request_id, deadline_ms, body))
            head = await asyncio.wait_for(read_head(self.reader), deadline_ms / 1000)
            if head is None:
                raise ConnectionError("closed")
            await asyncio.wait_for(read_body(self.reader, head[1]), 1)
            status = int(head[0].split(" ")[1])
            record.write(f"client gets {status} for {request_id}")
            if head[1].get("connection", "").lower() == "close":
                self.close()
            return request_id, status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record.write(f"client gets no answer for {request_id}: {error!r}")
            self.close()
            return request_id, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def run(folder, case):
    """Runs `case(deployment)`, which returns whether the rule held, and exits."""
    async def main():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            deployment.stop()
    if not os.path.exists(EDGE):
        print("endivedock-edge has not been built")
        sys.exit(2)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # So that the hosts are ended as well.
    try:
        has_held = asyncio.run(main())
    except Exception as error:  # A failure of the script itself shows nothing about the rule.
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if has_held else 1)
