"""Clients pipeline safe requests on kept connections while an entry host is stopped as planned.

Each request that the host has passed on to a worker must be answered.
"""
import asyncio
import collections
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import BOUNDS, Deployment, read_head, run_case  # noqa: E402

HOSTS, CLIENTS, INTERVAL_S, WORK_S = 4, 6, 0.03, 0.06
DEADLINE_MS = 800


async def run_client(deployment, host, number, entries):
    """Sends a request each INTERVAL_S on one connection until it is closed or announced to close."""
    reader, writer = await asyncio.open_connection(host.ip, deployment.front)
    waiting, is_closing = collections.deque(), False

    async def read_answers():
        nonlocal is_closing
        try:
            while head := await read_head(reader):
                entry = waiting.popleft()
                await reader.readexactly(int(head[1].get("content-length", 0)))
                entry["status"] = int(head[0].split()[1])
                deployment.record.write("answered", request=entry["id"], status=entry["status"])
                if head[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        is_closing = True
        closed_at = time.monotonic()
        for entry in waiting:
            entry["closed_at"] = closed_at
            deployment.record.write("closed", request=entry["id"])

    answers = asyncio.create_task(read_answers())
    try:
        while not is_closing and not deployment.is_stopping:
            deployment.next_id += 1
            entry = {"id": f"p{number}-{deployment.next_id:05d}", "at": time.monotonic(),
                     "status": None}
            entries[entry["id"]] = entry
            waiting.append(entry)
            deployment.record.write("sent", request=entry["id"], host=host.name)
            writer.write(f"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {entry['id']}\r\n"
                         f"Request-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode())
            await asyncio.sleep(INTERVAL_S)
    except ConnectionError:
        pass
    await asyncio.wait([answers], timeout=2)
    writer.close()


async def case(record, has_trouble):
    deployment = Deployment(record, HOSTS, ["s1"], workers_per_zone=2)
    entries = {}
    try:
        await deployment.start([deployment.route("a", "/a/", "safe", "s1")])
        for worker in deployment.workers:
            worker.work_s = WORK_S
        host = deployment.hosts[1]
        await asyncio.sleep(1)
        clients = [asyncio.create_task(run_client(deployment, host, number, entries))
                   for number in range(CLIENTS)]
        await asyncio.sleep(3)
        stopped_at = time.monotonic()
        if has_trouble:
            record.say("sigterm", host=host.name)
            host.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(BOUNDS["grace_s"])
        deployment.is_stopping = True
        await asyncio.wait(clients, timeout=4)
        arrived = {request_id for worker in deployment.workers for _, request_id in worker.arrivals}
        statuses = collections.Counter(str(entry["status"]) for entry in entries.values())
        record.say("statuses", **{f"status_{name}": count for name, count in statuses.items()})
        return [f"LOST: {entry['id']}, sent {entry['at'] - stopped_at:.2f} s after SIGTERM, reached "
                f"a worker; its connection was closed {entry['closed_at'] - entry['at']:.3f} s "
                f"later without an answer"
                for entry in entries.values()
                if entry["status"] is None and "closed_at" in entry and entry["id"] in arrived
                and entry["closed_at"] - entry["at"] < 0.7 * DEADLINE_MS / 1000]
    finally:
        await deployment.stop()


run_case(case, os.path.join(FOLDER, "record.txt"))
