"""Long uploads whose content looks like recorded requests, while more users come than there is room.

A refused upload must not make a worker run what stands in its body.
"""
import asyncio
import collections
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import Deployment, run_case  # noqa: E402
from uploads import upload  # noqa: E402

BODY_BYTES = 600_000  # The configuration allows 64 MiB.
RECORD_BYTES = 128
WORK_S = 0.24
UPLOADS_PER_S, SECONDS, BURST_FROM_S = 20, 10, 5
WARM_UP_S = 3  # The hosts learn the time of the route at half the rate.
# The largest dose of the site file: burst with x 1.8 for 5 s.
BURST, BURST_S = 1.8, 5


def recorded_requests(file_name):
    """Returns a file in which each record of RECORD_BYTES is a request, as a traffic log has them."""
    content = bytearray()
    while len(content) < BODY_BYTES:
        number = len(content) // RECORD_BYTES
        record = (f"GET /a/{number:06d} HTTP/1.1\r\nHost: h.example\r\n"
                  f"Request-Id: {file_name}.{number:05d}\r\nPad: ").encode()
        content += record + b"-" * (RECORD_BYTES - len(record) - 4) + b"\r\n\r\n"
    return bytes(content)


async def case(record, has_trouble):
    deployment = Deployment(record, 4, ["s1", "s2"])
    rng, tasks = random.Random(5), []
    try:
        await deployment.start([deployment.route("u", "/u/", "upload", "s1"),
                                deployment.route("a", "/a/", "safe", "s2")])
        for worker in deployment.workers:
            worker.work_s = WORK_S
        await asyncio.sleep(1)
        started_at = record.now()
        while (second := record.now() - started_at) < SECONDS:
            is_burst = has_trouble and BURST_FROM_S <= second < BURST_FROM_S + BURST_S
            tasks.append(asyncio.create_task(upload(
                deployment, rng.choice(deployment.hosts),
                recorded_requests(f"file{len(tasks):04d}"), chunked=False)))
            rate = UPLOADS_PER_S * (BURST if is_burst else 0.5 if second < WARM_UP_S else 1)
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
        statuses = collections.Counter(str(e["status"]) for e in deployment.sent.values())
        record.say("statuses", **statuses)
        return [f"UNASKED: {worker.id} ran '{line}' with id {request_id}, which no client sent"
                for worker in deployment.workers for request_id, line, _ in worker.runs
                if request_id not in deployment.sent]
    finally:
        await deployment.stop()


run_case(case, os.path.join(FOLDER, "record.txt"))
