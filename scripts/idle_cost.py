#!/usr/bin/env python3
"""Measures the cost of a fleet without traffic for each host: bytes sent, CPU time, memory.

Prints the mean of all hosts and the worst host. The arguments are the numbers of hosts of the
fleets, 4 and 14 by default.
"""
import os
import sys
import time

from fleet import Fleet, http_call


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def gauge(fleet, number, name):
    for line in http_call("GET", fleet.hosts[number]["admin"], "/metrics").splitlines():
        if line.startswith(name + " "):
            return float(line.rsplit(" ", 1)[1])
    return 0.0


def main():
    seconds = 10
    print(f"{'hosts':>5}{'KB/s sent':>12}{'worst':>8}{'cpu %':>8}{'worst':>8}{'MB':>7}{'worst':>7}"
          f"{'store calls/s':>15}")
    for hosts in [int(a) for a in sys.argv[1:]] or [4, 14]:
        with Fleet(hosts=hosts) as fleet:
            fleet.start()
            time.sleep(3)
            def sample():
                return {n: (gauge(fleet, n, "endivedock_peer_sent_bytes"),
                            cpu_seconds(fleet.processes[f"host{n}"].pid),
                            gauge(fleet, n, "endivedock_store_calls")) for n in fleet.hosts}
            before = sample()
            time.sleep(seconds)
            after = sample()
            sent = [(after[n][0] - before[n][0]) / seconds / 1000 for n in fleet.hosts]
            cpu = [100 * (after[n][1] - before[n][1]) / seconds for n in fleet.hosts]
            memory = [resident_bytes(fleet.processes[f"host{n}"].pid) / 1e6 for n in fleet.hosts]
            calls = sum(after[n][2] - before[n][2] for n in fleet.hosts) / seconds
            print(f"{hosts:>5}{sum(sent) / hosts:>12.2f}{max(sent):>8.2f}{sum(cpu) / hosts:>8.2f}"
                  f"{max(cpu):>8.2f}{sum(memory) / hosts:>7.1f}{max(memory):>7.1f}{calls:>15.2f}",
                  flush=True)


if __name__ == "__main__":
    main()
