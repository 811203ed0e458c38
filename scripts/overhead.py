#!/usr/bin/env python3
"""Measures the time that an entry host adds to a call, compared with direct calls to the targets.

One run measures three paths on the same machine: direct, through the placing host of the service,
and through another host, which asks the placing host. Prints a table for comparison and checks no
bound.
"""
import json
import subprocess
import sys
import time

from fleet import BUILD, Fleet, finish_load, http_call, wait_until

SERVICE = "bergvik/quote-archive"


def measure(hosts, rate, seconds, direct=False):
    command = [f"{BUILD}/tools/load_generator", "--seconds", str(seconds),
               "--service", f"{SERVICE},rate={rate},path=/q"]
    for host in hosts:
        command += ["--host", host]
    if direct:
        command.append("--direct")
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return finish_load(process)[1]


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    services = [(SERVICE, 8, 4), ("bergvik/order-acceptance", 1, 4), ("bergvik/cad-intake", 1, 4),
                ("bergvik/steel-reservation", 1, 4)]
    with Fleet(hosts=4, services=services, service_ms=1) as fleet:
        fleet.start(declarations=("bergvik",))

        def is_placing(number):
            return SERVICE in json.loads(
                http_call("GET", fleet.hosts[number]["admin"], "/status"))["places"]
        wait_until(lambda: any(is_placing(n) for n in fleet.hosts), "the placing host")
        placing_host = next(n for n in fleet.hosts if is_placing(n))
        other_host = next(n for n in fleet.hosts if n != placing_host)
        targets = [t["address"] for t in fleet.targets.values() if t["service"] == SERVICE]
        measure([fleet.hosts[placing_host]["listen"]], 300, 4)  # Warms up the targets.
        time.sleep(1)
        print(f"{'path':<18}{'rate/s':>8}{'answered':>10}{'p50 ms':>9}{'p99 ms':>9}"
              f"{'added p50':>11}{'added p99':>11}")
        for rate in (200, 1000, 2000, 4000):
            base = measure(targets, rate, seconds, direct=True)
            paths = {"direct": base,
                     "placing host": measure([fleet.hosts[placing_host]["listen"]], rate, seconds),
                     "other host": measure([fleet.hosts[other_host]["listen"]], rate, seconds)}
            for name, result in paths.items():
                print(f"{name:<18}{rate:>8}{result['answered']:>10}{result['p50Ms']:>9.2f}"
                      f"{result['p99Ms']:>9.2f}{result['p50Ms'] - base['p50Ms']:>11.2f}"
                      f"{result['p99Ms'] - base['p99Ms']:>11.2f}", flush=True)


if __name__ == "__main__":
    main()
