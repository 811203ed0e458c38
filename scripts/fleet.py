#!/usr/bin/env python3
"""Starts stand-ins and entry hosts on loopback, for scripts and process tests.

A fleet ends only the processes that it started. As a program, this file starts a fleet, sends load
and prints the result; with --keep the fleet runs until it is interrupted.
"""
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")
ZONES = ["a", "b", "c", "d"]

# Service, number of targets, slots of each target.
SERVICES = [
    ("bergvik/quote-archive", 16, 4),
    ("bergvik/order-acceptance", 10, 4),
    ("bergvik/cad-intake", 8, 4),
    ("bergvik/steel-reservation", 8, 4),
    ("nyandarua/returns-archive", 15, 6),
    ("nyandarua/filing", 8, 6),
    ("nyandarua/vet-evidence", 8, 6),
    ("nyandarua/levy-ledger", 8, 6),
]


def free_ports(count):
    """Returns the first of `count` consecutive free ports, each checked by binding it.

    The ports lie below the range that the kernel uses for outgoing connections.
    """
    while True:
        first = random.randrange(10_000, 32_000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    sockets.append(s)
                    s.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue  # One of the ports is in use; try another range.
        finally:
            for s in sockets:
                s.close()


def http_call(method, address, path, body=None, timeout=5):
    request = urllib.request.Request(f"http://{address}{path}", method=method,
                                     data=None if body is None else json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class Fleet:
    """Stand-ins for the platform and the targets, and a number of entry hosts, as processes."""

    def __init__(self, hosts=4, services=SERVICES, service_ms=5, log_level="warning", versions=None):
        self.dir = tempfile.mkdtemp(prefix="endivedock-")
        self.services = services
        self.processes = {}
        self.versions = versions or {}
        target_count = sum(count for _, count, _ in services)
        base = free_ports(1 + target_count + 3 * hosts)
        self.platform = f"127.0.0.1:{base}"
        self.first_target = base + 1
        self.first_host = base + 1 + target_count
        self.hosts = {}
        self.log_level = log_level
        self.service_ms = service_ms
        for number in range(1, hosts + 1):
            port = self.first_host + 3 * (number - 1)
            self.hosts[number] = {"zone": ZONES[(number - 1) % len(ZONES)],
                                  "listen": f"127.0.0.1:{port}",
                                  "admin": f"127.0.0.1:{port + 1}",
                                  "peer": f"127.0.0.1:{port + 2}"}
        self.targets = {}

    def start_process(self, name, arguments):
        with open(os.path.join(self.dir, name + ".log"), "ab") as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=log)
        self.processes[name] = process
        return process

    def start_platform(self):
        self.start_process("platform", [f"{BUILD}/tools/platform_standin", "--listen", self.platform])
        wait_until(lambda: http_call("GET", self.platform, "/calls"), "the platform")

    def start_targets(self):
        port = self.first_target
        for service, count, slots in self.services:
            name = service.replace("/", "-")
            self.start_process("targets-" + name, [
                f"{BUILD}/tools/target_standin", "--port", str(port), "--count", str(count),
                "--slots", str(slots), "--service-ms", str(self.service_ms), "--seed", str(port)])
            versions = self.versions.get(service, ["v1"])
            for i in range(count):
                target = f"{name}-{i}"
                self.targets[target] = {
                    "target": target, "service": service, "address": f"127.0.0.1:{port + i}",
                    "zone": ZONES[i % len(ZONES)], "version": versions[i % len(versions)],
                    "state": "live"}
            port += count
        self.publish_listing()
        for target in self.targets.values():
            wait_until(lambda: http_call("GET", target["address"], "/stats"), target["target"])

    def publish_listing(self):
        """Puts the present hosts and targets into the platform's listing."""
        hosts = [{"host": number, "region": "north", "zone": host["zone"], "address": host["peer"],
                  "state": host.get("state", "live")}
                 for number, host in self.hosts.items() if host.get("state") != "gone"]
        http_call("PUT", self.platform, "/v1/hosts",
                  {"hosts": hosts, "targets": list(self.targets.values())})

    def settings(self, number):
        host = self.hosts[number]
        seeds = [n for n in self.hosts if n != number][:3]
        return {"host": number, "region": "north", "zone": host["zone"], "listen": host["listen"],
                "admin": host["admin"], "peer": host["peer"],
                "peers": [{"host": n, "region": "north", "zone": self.hosts[n]["zone"],
                           "address": self.hosts[n]["peer"]} for n in seeds],
                "store": [self.platform], "directory": self.platform,
                "peerKeys": ["11" * 32], "logLevel": self.log_level}

    def start_host(self, number):
        path = os.path.join(self.dir, f"host{number}.json")
        with open(path, "w") as file:
            json.dump(self.settings(number), file, indent=1)
        self.start_process(f"host{number}", [f"{BUILD}/daemons/endivedockd", path])

    def wait_ready(self, numbers=None, seconds=20):
        for number in numbers or self.hosts:
            wait_until(lambda: http_call("GET", self.hosts[number]["admin"], "/ready"),
                       f"host {number}", seconds)

    def start(self, declarations=("bergvik", "nyandarua")):
        self.start_platform()
        self.start_targets()
        for folder in declarations:
            self.run_ctl("apply", f"{ROOT}/examples/{folder}")
        for number in self.hosts:
            self.start_host(number)
        self.wait_ready()

    def run_ctl(self, *arguments, check=True):
        command = [f"{BUILD}/daemons/endivedockctl", "--store", self.platform]
        for host in self.hosts.values():
            command += ["--admin", host["admin"]]
        result = subprocess.run(command + list(arguments), capture_output=True, text=True)
        if check and result.returncode != 0:
            raise RuntimeError(f"endivedockctl {arguments}: {result.stdout}{result.stderr}")
        return result

    def start_load(self, seconds, services, hosts=None, seed=1):
        """Starts the load generator; finish_load() waits for its result."""
        command = [f"{BUILD}/tools/load_generator", "--seconds", str(seconds), "--seed", str(seed)]
        for number in hosts or self.hosts:
            command += ["--host", self.hosts[number]["listen"],
                        "--admin", self.hosts[number]["admin"]]
        command += ["--targets", f"{self.first_target}:{len(self.targets)}"]
        for service in services:
            command += ["--service", service]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


def finish_load(process, timeout=120):
    """Returns the printed text, the JSON of the last line, and the exit code."""
    text, _ = process.communicate(timeout=timeout)
    return text, json.loads(text.strip().splitlines()[-1]), process.returncode


def wait_until(condition, description, seconds=10):
    """Polls until `condition` returns anything but False and raises none of the expected errors."""
    deadline = time.monotonic() + seconds
    error = None
    while time.monotonic() < deadline:
        try:
            if condition() is not False:
                return
        except (OSError, ValueError, KeyError) as failure:
            error = failure
        time.sleep(0.02)
    raise TimeoutError(f"{description} was not ready after {seconds} s: {error}")


MIXED_LOAD = [
    "bergvik/quote-archive,rate=400,path=/quotes/7",
    "bergvik/order-acceptance,rate=120,method=POST,path=/acceptances,keyed,body=300",
    "bergvik/cad-intake,rate=40,method=PUT,path=/drawings/1,body=200000",
    "bergvik/steel-reservation,rate=100,method=POST,path=/blocks,keyed,body=200",
    "nyandarua/returns-archive,rate=400,path=/returns/12",
    "nyandarua/filing,rate=120,method=POST,path=/filings,keyed,body=400",
    "nyandarua/vet-evidence,rate=60,path=/evidence/3",
    "nyandarua/levy-ledger,rate=100,method=POST,path=/receipts,keyed,body=150",
]


def main():
    keep = "--keep" in sys.argv
    with Fleet() as fleet:
        fleet.start()
        fleet.run_ctl("--wait", "10", "status")
        process = fleet.start_load(10, MIXED_LOAD)
        text, result, code = finish_load(process)
        if keep:
            print("entry hosts:")
            for number, host in fleet.hosts.items():
                print(f"  host {number} (zone {host['zone']}): "
                      f"curl -i http://{host['listen']}/bergvik/quote-archive/quotes/7")
                print(f"     status: curl http://{host['admin']}/status"
                      f"   metrics: curl http://{host['admin']}/metrics")
            print(f"operators: build/daemons/endivedockctl --store {fleet.platform} "
                  f"--admin {fleet.hosts[1]['admin']} status")
            print("press Ctrl-C to stop the fleet")
            print(text, flush=True)
            try:
                signal.pause()
            except KeyboardInterrupt:
                pass
        else:
            print(text, end="", flush=True)
    return code


if __name__ == "__main__":
    sys.exit(main())
