#!/usr/bin/env python3
"""Lets one of several entry hosts report the requests of each team, disturbs the hosts, and checks
the reports against what targets ran. Scenarios:

holders     kills the host that holds the duty, and pauses the next one for longer than its lease
collectors  kills the three hosts that collect the counts of all others, and starts them again
older_copy  lets the store come back from a copy made before any host held the duty

The store, the receiver of reports and the targets are stand-ins in this process. The program ends
only processes that it started.
"""
import asyncio
import collections
import json
import os
import random
import re
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from fault_soak import Host, Record, listen, pick_ports  # noqa: E402
from standins import Store, TargetStandIn, UsageReceiver, read_head  # noqa: E402

HOSTS, COLLECTORS, TARGETS, TEAMS = 5, 3, 3, 4
WINDOW_S, LATE_S, LEASE_S = 2, 16, 2
# Requests that a killed host ran and had not yet told others of, as a share of all.
MAX_LOST_SHARE = 0.05
WAIT_S = 60
# Hosts that hold the duty one after the other.
MIN_HOLDERS = {"holders": 3, "collectors": 1, "older_copy": 2}


class TeamRecord(Record):
    """Counts the requests of each team that a target ran; a hedge is a second run of its request."""

    def __init__(self):
        super().__init__()
        self.by_team = collections.Counter()

    def record_run(self, request_id, target, line, now):
        if request_id not in self.runs:
            self.by_team[target.team] += 1
        super().record_run(request_id, target, line, now)


class TeamTarget(TargetStandIn):
    team = None

    async def answer(self, head, body):
        self.team = head[1].get("tenant-id")  # The run is recorded before this waits.
        return await super().answer(head, body)


def configuration():
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    service = {"health_path": "/healthz", "max_connections": 260, "warmup_s": 0, "warmup_per_s": 100}
    route = {"host": "h.example", "prefix": "/a/", "service": "s1", "kind": "safe",
             "timeout_ms": 2000, "attempts": 2}
    teams = [{"resource_type": "tenants", "metadata": {"name": f"team{number}"},
              "spec": {"api_keys": [f"key{number}"]}} for number in range(TEAMS)]
    return json.dumps({"version": "r1", "resources": [
        {"resource_type": "services", "metadata": {"name": "s1"}, "spec": service},
        {"resource_type": "routes", "metadata": {"name": "a"}, "spec": route},
        {"resource_type": "limits", "metadata": {"name": "l"}, "spec": limits}] + teams})


def log_of(host):
    with open(host.log, encoding="utf8") as file:
        return file.read()


def terms(hosts):
    """Returns the tokens of all terms so far."""
    return [int(token) for host in hosts
            for token in re.findall(r"Usage duty held token=(\d+)", log_of(host))]


def holder_among(hosts):
    """Returns the host whose term has the highest token, if it has not ended."""
    held = []
    for host in hosts:
        text = log_of(host)
        begun = re.findall(r"Usage duty held token=(\d+)", text)
        if begun and f"Usage duty ended token={begun[-1]}" not in text:
            held.append((int(begun[-1]), host))
    return max(held, key=lambda term: term[0])[1] if held else None


async def wait_until(condition, seconds=WAIT_S):
    for _ in range(int(seconds / 0.1)):
        if condition():
            return True
        await asyncio.sleep(0.1)
    return condition()


async def call(host, number, rng):
    """Sends one request, whatever becomes of it."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front), 1)
        team = min(rng.randrange(TEAMS), rng.randrange(TEAMS))
        writer.write(f"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {number:016x}\r\n"
                     f"Authorization: Bearer key{team}\r\nRequest-Deadline-Ms: 1000\r\n"
                     "Connection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 2)
        return head is not None and " 200 " in head[0] + " "
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        if writer:
            writer.close()


async def send_requests(hosts, state):
    rng, tasks = random.Random(7), set()
    while not state["stopping"]:
        state["sent"] += 1
        task = asyncio.ensure_future(call(rng.choice(hosts), state["sent"], rng))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def run(directory, scenario):
    hosts = []
    try:
        return await disturb_hosts(directory, hosts, scenario)
    finally:
        for host in hosts:
            host.signal(signal.SIGKILL)
            host.process.wait()
        # The stand-ins' tasks end by being cancelled, which is no failure.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


async def start(directory, hosts, store, receiver, record):
    _, store_port = await listen(store.serve)
    _, receiver_port = await listen(receiver.serve)
    for number in range(TARGETS):
        target = TeamTarget(f"i-{number}", "s1", "a", record, random.Random(number))
        _, port = await listen(target.serve)
        target.address = f"127.0.0.1:{port}"
        await store.put(f"servers/i-{number}", target.registry_entry())
    await store.put("op/config", configuration())
    store.era = 0
    store.copy()
    ports = pick_ports()
    for number in range(HOSTS):
        host = Host(number, store_port, directory, ports)
        host.settings["limits"]["cpu_share"] = 0.4 if number < COLLECTORS else 0.2
        host.settings["bounds"] += [f"report_window_s={WINDOW_S}", f"usage_late_s={LATE_S}",
                                    f"lease_ms={LEASE_S * 1000}", "require_fencing=true"]
        host.settings["cloud"] = {"address": f"127.0.0.1:{receiver_port}", "rate_per_s": 50,
                                  "duties": ["usage_reporting"], "duty_per_s": 50}
        host.start()
        hosts.append(host)


async def disturb_hosts(directory, hosts, scenario):
    store, receiver, record = Store(), UsageReceiver(LEASE_S), TeamRecord()
    await start(directory, hosts, store, receiver, record)
    if not await wait_until(lambda: holder_among(hosts)):
        return "no host holds the duty"
    state = {"stopping": False, "sent": 0}
    # Those that serve requests when the collectors are killed stay alive.
    serving = hosts[COLLECTORS:] if scenario == "collectors" else hosts
    sending = asyncio.ensure_future(send_requests(list(serving), state))
    if not await wait_until(lambda: sum(sum(counts.values())
                                        for counts in receiver.counts.values()) > 100):
        return "no window was reported"
    receiver.loss_rate = 0.3
    scenarios = {"holders": disturb_holders, "collectors": restart_collectors,
                 "older_copy": return_from_copy}
    failure = await scenarios[scenario](hosts, store)
    if failure:
        return failure
    await asyncio.sleep(2 * WINDOW_S)
    state["stopping"] = True
    await sending
    last = int(time.time() / WINDOW_S)
    if not await wait_until(lambda: last in receiver.counts):
        return f"window {last} was not reported"
    return judge(receiver, record, hosts, MIN_HOLDERS[scenario])


async def disturb_holders(hosts, _):
    killed = holder_among(hosts)
    killed.signal(signal.SIGKILL)
    killed.process.wait()
    living = [host for host in hosts if host is not killed]
    if not await wait_until(lambda: holder_among(living)):
        return "no host took over from the killed one"
    paused = holder_among(living)
    paused.signal(signal.SIGSTOP)
    running = [host for host in living if host is not paused]
    taken_over = await wait_until(lambda: holder_among(running))
    paused.signal(signal.SIGCONT)
    return None if taken_over else "no host took over from the paused one"


async def restart_collectors(hosts, _):
    for host in hosts[:COLLECTORS]:
        host.signal(signal.SIGKILL)
    for host in hosts[:COLLECTORS]:
        host.process.wait()
        os.remove(host.log)  # Its terms have ended.
        host.start()
    return None if await wait_until(lambda: holder_among(hosts)) else "no host took over"


async def return_from_copy(hosts, store):
    token = max(terms(hosts))
    await store.restore()
    # The holder's key is gone as well, so that two hosts hold the duty for a moment.
    return None if await wait_until(lambda: max(terms(hosts)) > token) else "no new term began"


def judge(receiver, record, hosts, min_holders):
    reported = collections.Counter()
    for counts in receiver.counts.values():
        reported.update(counts)
    windows = sorted(receiver.counts)
    missing = set(range(windows[0], windows[-1])) - set(windows)
    print(f"{len(windows)} windows in {receiver.calls} calls, {len(receiver.holder_of)} tokens; "
          f"run {dict(record.by_team)}, reported {dict(reported)}")
    if receiver.violations:
        return receiver.violations[0]
    if missing:
        return f"windows {sorted(missing)} were not reported"
    if len(set(receiver.holder_of.values())) < min_holders:
        return f"fewer than {min_holders} hosts held the duty"
    if set(record.by_team) != {f"team{number}" for number in range(TEAMS)}:
        return "a run had no team"
    for team, count in record.by_team.items():
        if not count * (1 - MAX_LOST_SHARE) <= reported[team] <= count:
            return f"{reported[team]} requests of {team} reported, {count} run"
    if any("key1" in log_of(host) for host in hosts):
        return "a key stands in a log"
    return None


def main():
    with tempfile.TemporaryDirectory() as directory:
        violation = asyncio.run(run(directory, sys.argv[1]))
    if violation:
        print(f"BROKEN {violation}")
        sys.exit(1)


if __name__ == "__main__":
    main()
