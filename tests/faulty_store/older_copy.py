#!/usr/bin/env python3
"""Lets the platform's store come back from a copy some seconds old, and checks what entry hosts then
follow: newer configurations, but none that is older than the one in force; and what they had written
themselves stands in the store again.

The store and the targets are stand-ins in this process. The program ends only processes that it
started.
"""
import asyncio
import json
import os
import random
import signal
import sys
import tempfile

from compacted_history import CONFIG_S, START_S, configuration, has_applied, log_of, wait_until
from fault_soak import Host, Record, listen, pick_ports
from standins import Store, TargetStandIn

HOSTS, TARGETS = 5, 12
# Writes of other clients between the copy and the return, so that revisions are given out again.
LOST_WRITES = 20
WATCHED_S = 6
# Four readers with watches of 4 s each, one listing each of up to three calls, and what the hosts
# write again: one call of five hosts, and two for a write that another host has made meanwhile.
MAX_CALLS = 4 * (WATCHED_S // 4 + 1) + 4 * 3 + 2 * HOSTS


def host_keys(store):
    return sorted(key for key in store.items if key.startswith("endivedock/hosts/"))


async def follow_configuration(store, hosts, version):
    await store.put("op/config", configuration(version))
    return await wait_until(lambda: all(has_applied(host, version) for host in hosts), CONFIG_S)


async def drill(store, hosts):
    """Returns what is broken, or None."""
    await store.put("op/evacuate/z", "{}")
    store.copy()
    registered = host_keys(store)
    if not await follow_configuration(store, hosts, 2):
        return "a host did not apply a configuration before the drill"
    for number in range(LOST_WRITES):
        await store.put(f"servers/lost-{number}", "{}")
    await asyncio.sleep(1)  # All hosts follow these writes.
    # What a host itself has written is lost as well.
    lost_host = registered[-1]
    del store.copies[0][lost_host]
    await store.restore()
    calls_before = store.calls
    await asyncio.sleep(1)
    for number in range(3):  # Revisions that the hosts have seen before are given out again.
        await store.put(f"servers/other-{number}", "{}")
    log_sizes = {host: len(log_of(host)) for host in hosts}
    if not await follow_configuration(store, hosts, 3):
        late = [host.number for host in hosts if not has_applied(host, 3)]
        return f"hosts {late} did not apply a configuration after the drill"
    await asyncio.sleep(WATCHED_S)
    if host_keys(store) != registered:
        return f"registrations after the drill: {host_keys(store)}, before: {registered}"
    for host in hosts:
        if "Configuration applied version=1 " in log_of(host)[log_sizes[host]:]:
            return f"host {host.number} went back to an older configuration"
    calls = store.calls - calls_before
    print(f"{calls} calls after the drill, {MAX_CALLS} allowed")
    if calls > MAX_CALLS:
        return f"{calls} calls to the store after the drill, {MAX_CALLS} allowed"
    return None


async def run_drill(directory, hosts):
    store = Store()
    store.era = 1
    _, store_port = await listen(store.serve)
    for number in range(TARGETS):
        target = TargetStandIn(f"i-{number}", "s1", "a", Record(), random.Random(number))
        target.address = "127.0.0.1:9"
        await store.put(f"servers/i-{number}", target.registry_entry())
    await store.put("op/config", configuration(1))
    ports = pick_ports()
    for number in range(HOSTS):
        hosts.append(Host(number, store_port, directory, ports))
        hosts[-1].start()
    if not await wait_until(lambda: all(has_applied(host, 1) for host in hosts), START_S):
        return "the hosts did not start"
    if not await wait_until(lambda: len(host_keys(store)) == HOSTS, START_S):
        return "the hosts did not register"
    await asyncio.sleep(3)  # Four hosts keep reading the store, the others stop.
    return await drill(store, hosts)


async def run(directory):
    hosts = []
    try:
        return await run_drill(directory, hosts)
    finally:
        for host in hosts:
            host.signal(signal.SIGKILL)
            host.process.wait()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:  # The watches of the store.
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.1)


def main():
    with tempfile.TemporaryDirectory() as directory:
        violation = asyncio.run(run(directory))
    if violation:
        print(f"BROKEN {violation}")
        sys.exit(1)


if __name__ == "__main__":
    main()
