"""Two workers leave at the same time, and the store removes their entries in one transaction.

No request may reach them later than drain_ms after that.
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import BOUNDS, Deployment, run_case  # noqa: E402

HOSTS, REQUESTS_PER_HOST_S = 12, 15
DRAIN_S = BOUNDS["drain_ms"] / 1000
# The workers go on for drain_ms and a little longer, and then exit.
STAY_S = DRAIN_S + 3


async def case(record, has_trouble):
    deployment = Deployment(record, HOSTS, ["s1", "s2"], workers_per_zone=2)
    try:
        await deployment.start([deployment.route("a", "/a/", "safe", "s1"),
                                deployment.route("b", "/b/", "unsafe", "s2")])
        deployment.start_load([("GET", "/a/x", 0), ("POST", "/b/x", 100)], REQUESTS_PER_HOST_S)
        await asyncio.sleep(6)
        # Two of the eight workers of the service of unsafe requests; nothing else is disturbed.
        leaving = [worker for worker in deployment.workers if worker.service == "s2"][:2]
        keys = [worker.key for worker in leaving]
        if has_trouble:
            deployment.store.transact([], keys)
        else:  # The same workers leave, each with a transaction of its own.
            for key in keys:
                deployment.store.transact([], [key])
        acknowledged_at = time.monotonic()
        record.say("entries-removed", keys=",".join(keys))
        await asyncio.sleep(STAY_S)
        for worker in leaving:
            worker.end()
        record.say("workers-exited")
        await asyncio.sleep(3)
        violations = []
        for worker in leaving:
            late = [(at - acknowledged_at, request_id) for at, request_id in worker.arrivals
                    if at > acknowledged_at + DRAIN_S]
            record.say("late-requests", worker=worker.id, count=len(late))
            violations += [f"DRAIN: {request_id} reached {worker.id} {after:.2f} s after the store "
                           f"had acknowledged that it is gone" for after, request_id in late]
        ran = {request_id for worker in leaving for request_id, _, _ in worker.runs}
        lost = [request_id for request_id in ran if deployment.sent[request_id]["status"] != 200]
        record.say("lost", unsafe_requests_that_ran_and_were_not_answered=len(lost))
        return violations
    finally:
        await deployment.stop()


run_case(case, os.path.join(FOLDER, "record.txt"))
