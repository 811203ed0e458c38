#!/usr/bin/env python3
"""Time that an entry host adds to a call, against the same load sent to the targets directly.

One run measures all three ways on the same machine: direct, through the host that places the
service, and through one that asks it. Prints a table; figures are for comparing, not for passing.
"""
import json
import subprocess
import sys
import time

from fleet import BUILD, Fleet, call, finish_load, wait_until

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

        def places(number):
            return SERVICE in json.loads(
                call("GET", fleet.hosts[number]["admin"], "/status"))["places"]
        wait_until(lambda: any(places(n) for n in fleet.hosts), "the placing host")
        placing = next(n for n in fleet.hosts if places(n))
        asking = next(n for n in fleet.hosts if n != placing)
        targets = [t["address"] for t in fleet.targets.values() if t["service"] == SERVICE]
        measure([fleet.hosts[placing]["listen"]], 300, 4)  # Warms the targets.
        time.sleep(1)
        print(f"{'way':<18}{'rate/s':>8}{'answered':>10}{'p50 ms':>9}{'p99 ms':>9}"
              f"{'added p50':>11}{'added p99':>11}")
        for rate in (200, 1000, 2000, 4000):
            base = measure(targets, rate, seconds, direct=True)
            ways = {"direct": base,
                    "placing host": measure([fleet.hosts[placing]["listen"]], rate, seconds),
                    "asking host": measure([fleet.hosts[asking]["listen"]], rate, seconds)}
            for name, result in ways.items():
                print(f"{name:<18}{rate:>8}{result['answered']:>10}{result['p50Ms']:>9.2f}"
                      f"{result['p99Ms']:>9.2f}{result['p50Ms'] - base['p50Ms']:>11.2f}"
                      f"{result['p99Ms'] - base['p99Ms']:>11.2f}", flush=True)


if __name__ == "__main__":
    main()
