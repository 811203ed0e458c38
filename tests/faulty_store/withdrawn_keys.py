#!/usr/bin/env python3
"""Takes keys of callers away while entry hosts run as processes, and checks that no request with such a
key runs later than the bound, that hosts in touch refuse it, and that hosts serve again with news.

Host 0 is alone: it has a store address of its own, and another peer key than the others. The targets,
the store and the callers are stand-ins in this process. The program ends only processes that it started.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "soak"), os.path.join(HERE, "..", "faulty_targets")]
import crashing_requests  # noqa: E402
from crashing_requests import CrashTest, Scenario  # noqa: E402
from fault_soak import listen  # noqa: E402
from standins import Proxy, TargetStandIn, read_head  # noqa: E402

crashing_requests.HOSTS, crashing_requests.TARGETS = 4, 4
# The bound of the platform, with the time that a request takes from its sending to its target.
REVOKE_MS = 5000
BOUND_S = REVOKE_MS / 1000
# Longest wait for a state that hosts must reach; the machine may be busy.
PATIENCE_S = 30.0
KEYS = [f"key-{number}" for number in range(8)]


class KeyTarget(TargetStandIn):
    """Records the fields of each request that it runs."""

    def __init__(self, test, *arguments):
        super().__init__(*arguments)
        self.test = test

    async def open(self):
        _, port = await listen(self.serve)
        self.address = f"127.0.0.1:{port}"

    async def answer(self, head, body):
        if " /healthz" not in head[0]:
            self.test.runs[head[1].get("request-id")] = head[1]
        return await super().answer(head, body)


class WithdrawalTest(CrashTest):
    target_type = KeyTarget

    def __init__(self, directory):
        super().__init__(Scenario(), directory)
        self.rng, self.runs, self.sent, self.withdrawn = random.Random(7), {}, {}, {}
        self.version, self.violations, self.proxy = 0, [], None

    async def put_configuration(self):
        self.version += 1
        route = {"host": "h.example", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 300,
                 "priority": 1, "service": "s1", "attempts": 2}
        keys = [key for key in KEYS if key not in self.withdrawn]
        resources = [
            {"resource_type": "routes", "metadata": {"name": "r1"}, "spec": {**route, "prefix": "/a/"}},
            {"resource_type": "routes", "metadata": {"name": "r2"},
             "spec": {**route, "prefix": "/open/", "public": True}},
            {"resource_type": "services", "metadata": {"name": "s1"},
             "spec": {"health_path": "/healthz", "max_connections": 260, "warmup_s": 0,
                      "warmup_per_s": 100}},
            {"resource_type": "limits", "metadata": {},
             "spec": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000,
                      "idle_timeout_ms": 15000}},
            {"resource_type": "tenants", "metadata": {"name": "blue"}, "spec": {"api_keys": keys}}]
        await self.store.put("op/config", json.dumps({"version": f"r{self.version}",
                                                      "resources": resources}))

    async def withdraw(self, key):
        self.withdrawn[key] = None
        await self.put_configuration()
        self.withdrawn[key] = time.monotonic()

    async def send_with_key(self, host, key, path="/a/x", patience_s=2.0):
        """Returns the status, or None without an answer, and the body."""
        self.next_id += 1
        request_id = f"q{self.next_id:08d}"
        self.sent[request_id] = (key, time.monotonic(), path)
        try:
            reader, writer = await asyncio.open_connection(*host.front)
        except OSError:
            return None, b""
        try:
            writer.write((f"GET {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {key}\r\n"
                          f"Request-Id: {request_id}\r\nRequest-Deadline-Ms: 800\r\n\r\n").encode())
            answer = await asyncio.wait_for(read_head(reader), patience_s)
            if answer is None:
                return None, b""
            return int(answer[0].split(" ")[1]), await reader.readexactly(
                int(answer[1].get("content-length", 0)))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None, b""
        finally:
            writer.close()

    async def expect(self, what, hosts, key, status, reason=b"", never=()):
        """Waits until all hosts answer a key with a status; no answer before may have one of `never`."""
        for host in hosts:
            until = time.monotonic() + PATIENCE_S
            while True:
                found, body = await self.send_with_key(host, key)
                if found == status and body.startswith(reason):
                    break
                if found in never:
                    self.violations.append(f"{what}: host {host.number} answered {found} before")
                    break
                if time.monotonic() > until:
                    self.violations.append(f"{what}: host {host.number} still answers {found} {body}")
                    break
                await asyncio.sleep(0.05)
        print(f"  {what}: done", flush=True)

    def check_runs(self):
        late, keys_passed_on, others = [], [], []
        for request_id, fields in self.runs.items():
            key, sent_at, path = self.sent[request_id]
            withdrawn_at = self.withdrawn.get(key)
            if path == "/a/x" and withdrawn_at and sent_at > withdrawn_at + BOUND_S:
                late.append(request_id)
            if "authorization" in fields:
                keys_passed_on.append(request_id)
            if path == "/a/x" and fields.get("tenant-id") != "blue":
                others.append(request_id)
        print(f"  {len(self.runs)} requests ran")
        for what, ids in (("ran with a withdrawn key", late), ("ran with their key", keys_passed_on),
                          ("ran without their team", others)):
            if ids:
                self.violations.append(f"{len(ids)} requests {what}: {', '.join(ids[:5])}")
        if not self.runs:
            self.violations.append("no request ran")

    async def press(self):
        """Sends requests with withdrawn keys all the while."""
        while not self.is_stopping:
            for host in self.hosts:
                for key in list(self.withdrawn):
                    if not host.is_paused:
                        await self.send_with_key(host, key)
            await asyncio.sleep(0.05)

    async def start(self):
        server, store_port = await listen(self.store.serve)
        self.proxy = Proxy(("127.0.0.1", store_port))
        proxy_server, proxy_port = await listen(self.proxy.serve)
        self.servers += [server, proxy_server]
        for number in range(crashing_requests.TARGETS):
            await self.add_target(f"z{number}")
        await self.put_configuration()
        ports = crashing_requests.pick_ports()
        for number in range(crashing_requests.HOSTS):
            host = crashing_requests.Host(number, proxy_port if number == 0 else store_port,
                                          self.directory, ports)
            host.settings["bounds"] += ["fail_closed=true", f"revoke_ms={REVOKE_MS}"]
            if number == 0:
                host.settings.update(peer_key="a0" * 32, seeds=[])
            self.hosts.append(host)
            host.start()

    async def run(self):
        await self.start()
        alone, others = self.hosts[0], self.hosts[1:]
        stale = b"stale-configuration"
        await self.expect("all hosts start without a 401", self.hosts, KEYS[0], 200, never=(401,))
        pressing = asyncio.create_task(self.press())

        await self.withdraw(KEYS[1])
        await self.expect("a withdrawal reaches all hosts", self.hosts, KEYS[1], 401)

        self.proxy.is_silent = True
        await self.withdraw(KEYS[2])
        await self.expect("hosts in touch refuse the key", others, KEYS[2], 401)
        await self.expect("the host that is cut off refuses", [alone], KEYS[2], 503, stale)
        await self.expect("it refuses other keys, too", [alone], KEYS[0], 503, stale)
        if (await self.send_with_key(alone, KEYS[0], "/open/x"))[0] != 200:
            self.violations.append("the host that is cut off doesn't serve its public route")
        await self.expect("the others serve", others, KEYS[0], 200)
        self.proxy.is_silent = False
        await self.expect("with news it serves again", [alone], KEYS[0], 200, never=(401,))
        await self.expect("it refuses the key as withdrawn", [alone], KEYS[2], 401)

        self.store.is_down = True
        await self.withdraw(KEYS[3])
        await self.withdraw(KEYS[4])
        await self.expect("hosts that are stale together refuse", self.hosts, KEYS[3], 503, stale)
        await self.restart(others[0], signal.SIGKILL, 0.2)
        await self.expect("a restarted host has no news", others[:1], KEYS[0], 503, never=(200, 401))
        self.store.is_down = False
        await self.expect("all serve again", self.hosts, KEYS[0], 200, never=(401,))
        await self.expect("both keys are withdrawn", self.hosts, KEYS[4], 401)

        frozen = others[1]
        frozen.is_paused = True
        frozen.signal(signal.SIGSTOP)
        await self.withdraw(KEYS[5])
        await asyncio.sleep(BOUND_S + 0.5)
        waiting = [asyncio.create_task(self.send_with_key(frozen, KEYS[5], patience_s=PATIENCE_S))
                   for _ in range(20)]
        await asyncio.sleep(0.5)
        frozen.signal(signal.SIGCONT)
        statuses = [status for status, _ in await asyncio.gather(*waiting)]
        print(f"  the host that was frozen answered {sorted(set(map(str, statuses)))}")
        if 200 in statuses:
            self.violations.append("the host that was frozen served a withdrawn key")
        frozen.is_paused = False
        await self.expect("the host that was frozen serves again", [frozen], KEYS[0], 200, never=(401,))

        self.is_stopping = True
        await pressing
        self.stop()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # Watches are cancelled.
        self.check_runs()
        self.check_logs()
        return self.violations

    def check_logs(self):
        for host in self.hosts:
            with open(host.log, encoding="utf8") as log:
                if any(key in line for line in log for key in KEYS):
                    self.violations.append(f"the log of host {host.number} contains a key")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep-logs", metavar="DIRECTORY")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        test = WithdrawalTest(arguments.keep_logs or directory)
        try:
            violations = asyncio.run(test.run())
        finally:
            test.stop()
    for violation in violations:
        print(f"BROKEN {violation}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
