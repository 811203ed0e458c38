"""Stand-ins for the platform's store and the targets, and a proxy that injects connection faults.

All stand-ins run on the asyncio loop of the soak, so that the soak sees every request both at the
caller and at the target.
"""
import asyncio
import base64
import json
import random
import time
import urllib.parse


async def read_head(reader):
    """Returns the first line and the fields by lower-case name, or None if the stream has ended."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def format_message(status, body, fields=()):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Store:
    """The platform's key-value store: keys with revisions, conditional writes and watches.

    Serves the calls that the platform library makes.
    """

    def __init__(self):
        self.items, self.revision, self.history = {}, 10, []
        self.changed = asyncio.Condition()
        self.is_down, self.loss_rate = False, 0.0
        self.acknowledged = {}
        self.leases, self.lease_of = {}, {}  # End and duration by lease, and lease by key.
        # Rises each time the store comes back from an older copy; sent in all answers if set.
        self.era, self.copies, self.calls, self.writers = None, None, 0, set()

    def copy(self):
        self.copies = dict(self.items), self.revision

    async def restore(self):
        """Comes back from the copy: what was written since then is gone, and so are connections."""
        self.items, self.revision = dict(self.copies[0]), self.copies[1]
        self.era += 1
        self.history = [entry for entry in self.history if entry[0] <= self.revision]
        for writer in list(self.writers):
            writer.transport.abort()

    async def put(self, key, value, lease=0):
        self.revision += 1
        self.lease_of[key] = lease
        self.items[key] = (value, self.revision)
        self.history.append((self.revision, key, value))
        self.acknowledged[key] = time.monotonic()
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))
        async with self.changed:
            self.changed.notify_all()

    def drop_history(self):
        self.history = []

    @staticmethod
    def item(key, value, revision):
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "value": base64.b64encode(value.encode()).decode(),
                "revision": revision, "created_rev": revision, "lease": 0}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            oldest = self.history[0][0] if self.history else self.revision + 1
            if (after + 1 < oldest and after < self.revision) or after > self.revision:
                return 410, {}
            events = [self.item(k, v, r) for r, k, v in self.history if r > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, owner in self.lease_of.items() if owner == lease]:
            del self.lease_of[key]
            await self.remove(key)

    async def handle_lease(self, method, path, body):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
            await self.end_lease(lease)
        if path == "/-/kv-lease":
            lease, ttl = self.revision * 1000 + len(self.leases) + 1, json.loads(body)["ttl_ms"]
            self.leases[lease] = (now + ttl / 1000, ttl)
            asyncio.get_running_loop().call_later(ttl / 1000, self.expire_soon)
            return 200, {"lease": lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (now + ttl / 1000, ttl)
        asyncio.get_running_loop().call_later(ttl / 1000, self.expire_soon)
        return 200, {}

    def expire_soon(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
            asyncio.ensure_future(self.end_lease(lease))

    async def transact(self, body):
        for row in body["expected"]:
            if self.items.get(row["key"], (None, 0))[1] != row["revision"]:
                found = [self.item(r["key"], *self.items[r["key"]]) for r in body["expected"]
                         if r["key"] in self.items]
                return 412, {"items": found}
        if any(row.get("lease", 0) not in {0, *self.leases} for row in body["puts"]):
            return 404, {}
        for row in body["puts"]:
            await self.put(row["key"], base64.b64decode(row["value"]).decode(), row.get("lease", 0))
        return 200, {"revision": self.revision}

    async def answer(self, line, body):
        method, request_target, _ = line.split(" ", 2)
        url = urllib.parse.urlsplit(request_target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.is_down:
            return 503, {}
        if url.path == "/-/kv-watch":
            return await self.watch(query)
        if url.path == "/-/kv-range":
            items = [self.item(k, v, r) for k, (v, r) in sorted(self.items.items())]
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        if url.path == "/-/kv-key":
            found = self.items.get(query["key"])
            return (200, self.item(query["key"], *found)) if found else (404, {})
        if url.path == "/-/kv-txn":
            return await self.transact(json.loads(body))
        if url.path.startswith(("/-/kv-lease", "/-/kv-keep/")):
            return await self.handle_lease(method, url.path, body)
        return 404, {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                self.calls += 1
                status, answer = await self.answer(head[0], body)
                if random.random() < self.loss_rate:
                    break
                fields = [] if self.era is None else [("Store-Era", self.era)]
                writer.write(format_message(status, json.dumps(answer).encode(), fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()


class UsageReceiver:
    """The platform's receiver of usage reports, which checks each accepted call.

    One window never has two different counts, a token has one holder, and two holders do not take
    turns within a lease. Answers are lost at `loss_rate`.
    """

    def __init__(self, lease_s):
        self.lease_s, self.loss_rate = lease_s, 0.0
        self.counts, self.token, self.holder_of, self.turns = {}, 0, {}, []
        self.calls, self.violations = 0, []

    def accept(self, holder, token, report, now):
        self.calls += 1
        if self.holder_of.setdefault(token, holder) != holder:
            self.violations.append(f"token {token} of {self.holder_of[token]} used by {holder}")
        if token < self.token:
            return 409
        self.token = token
        if self.counts.setdefault(report["window"], report["counts"]) != report["counts"]:
            self.violations.append(f"window {report['window']} with two counts, by {holder}")
        if self.turns and self.turns[-1][0] == holder:
            self.turns[-1][1] = now
            return 200
        if len(self.turns) > 1 and self.turns[-2][0] == holder:
            if now - self.turns[-2][1] < self.lease_s:
                self.violations.append(f"{holder}, {self.turns[-1][0]}, {holder} in one lease")
        self.turns.append([holder, now])
        return 200

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if line.split(" ")[:2] != ["POST", "/usage"]:
                    writer.write(format_message(404, b""))
                    continue
                status = self.accept(fields["lease-holder"], int(fields["fencing-token"]),
                                     json.loads(body), time.monotonic())
                if random.random() < self.loss_rate:
                    break
                writer.write(format_message(status, b""))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class TargetStandIn:
    """One target with slots, a queue and a cold start. Records each run in `log`."""

    def __init__(self, target_id, service, zone, log, rng):
        self.target_id, self.service, self.zone = target_id, service, zone
        self.log, self.rng = log, rng
        self.slots, self.running, self.waiting = 4, 0, 0
        self.free_slots = asyncio.Semaphore(self.slots)
        self.cold_until, self.is_crashed, self.failure_rate, self.slowdown = 0.0, False, 0.0, 1.0
        self.address, self.writers, self.cold_starts = None, set(), []

    def registry_entry(self, state="ready"):
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return json.dumps({"address": self.address, "born": 1,
                           "info": {"service": self.service, "version": "v1", "zone": self.zone,
                                    "capacity": self.slots},
                           "status": {"state": state, "seq": 1, "warmup_left_ms": cold}})

    def response_fields(self):
        load = f"{self.running},{self.waiting},{self.slots},{int(self.slowdown * 100)}"
        return [("Server-Load", load), ("Instance-Id", self.target_id),
                ("Keep-Alive", "timeout=10")]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) and not self.is_crashed:
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                writer.write(await self.answer(head, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def answer(self, head, body):
        line, fields = head
        request_id = fields.get("request-id")
        if " /healthz" in line:
            left = max(0, int((self.cold_until - time.monotonic()) * 1000))
            cold = [("Warmup-Ms", left)] if left else []
            return format_message(200, b"", self.response_fields() + cold)
        if fields.get("target-instance", self.target_id) != self.target_id:
            return format_message(421, b"", self.response_fields())
        if self.waiting >= 8:
            return format_message(503, b"", self.response_fields() + [("Not-Executed", "1"),
                                                                      ("Request-Id", request_id)])
        now = time.monotonic()
        if now < self.cold_until:
            self.cold_starts.append(now)
        self.log.record_run(request_id, self, line, now)
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(self.rng.uniform(0.02, 0.05) * self.slowdown)
            self.running -= 1
        if self.rng.random() < self.failure_rate:
            return format_message(500, b"", self.response_fields() + [("Request-Id", request_id)])
        text = f"{request_id} {len(body)} {self.service}".encode()
        return format_message(200, text, self.response_fields() + [("Request-Id", request_id),
                                                                   ("Response-Signature", "sig")])

    def crash(self):
        self.is_crashed = True
        for writer in list(self.writers):
            writer.transport.abort()

    def restart(self, cold_s):
        self.is_crashed, self.cold_until = False, time.monotonic() + cold_s


class Proxy:
    """Forwards connections to one address and can delay, stall, refuse or reset them.

    `is_silent` stalls both directions, `holds_answers` only the direction from that address.
    """

    def __init__(self, upstream):
        self.upstream, self.delay_s = upstream, 0.0
        self.is_silent, self.holds_answers, self.refuses_connections = False, False, False
        self.writers = set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def forward(self, reader, writer, is_from_upstream):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.is_silent or (self.holds_answers and is_from_upstream):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        if self.refuses_connections:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        await asyncio.gather(self.forward(reader, upstream_writer, False),
                             self.forward(upstream_reader, writer, True))
        self.writers -= {writer, upstream_writer}
