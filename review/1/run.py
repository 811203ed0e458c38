"""Long uploads in chunks, while the workers of a service reject part of them as not run."""
import asyncio
import collections
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import Deployment, run_case  # noqa: E402
from uploads import upload  # noqa: E402

BODY_BYTES = 900_000  # The configuration allows 64 MiB.
UPLOADS_PER_S, SECONDS, TROUBLE_FROM_S = 20, 10, 2
# The largest dose of the site file is x 0.55 for 8.5 s, at all workers of a service (day scale-1).
SHED_SHARE, SHED_S = 0.3, 6.0


async def case(record, has_trouble):
    deployment = Deployment(record, 4, ["s1"], workers_per_zone=2)
    rng, tasks = random.Random(5), []
    try:
        await deployment.start([deployment.route("u", "/u/", "upload", "s1")])
        await asyncio.sleep(1)
        for number in range(UPLOADS_PER_S * SECONDS):
            second = number / UPLOADS_PER_S
            is_grey = has_trouble and TROUBLE_FROM_S <= second < TROUBLE_FROM_S + SHED_S
            for worker in deployment.workers:
                worker.shed_share = SHED_SHARE if is_grey else 0.0
            host = rng.choice(deployment.hosts)
            tasks.append(asyncio.create_task(
                upload(deployment, host, rng.randbytes(BODY_BYTES), chunked=True)))
            await asyncio.sleep(1 / UPLOADS_PER_S)
        await asyncio.gather(*tasks)
        statuses = collections.Counter(str(e["status"]) for e in deployment.sent.values())
        record.say("statuses", **statuses)
        violations = []
        for worker in deployment.workers:
            for request_id, _, body in worker.runs:
                sent = deployment.sent[request_id]
                if body != sent["body"]:
                    violations.append(
                        f"UNASKED: {worker.id} ran {request_id} with {len(body)} of "
                        f"{len(sent['body'])} bytes, and its client got {sent['status']}")
        return violations
    finally:
        await deployment.stop()


run_case(case, os.path.join(FOLDER, "record.txt"))
