"""The hosts that read the store are partitioned from it, silently, and the configuration changes.

The other hosts are undisturbed and must follow the new configuration within config_apply_ms.
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import BOUNDS, Deployment, run_case  # noqa: E402

HOSTS, REQUESTS_PER_HOST_S = 12, 10
# A third of the hosts; the largest dose of the site file is share 0.35 for 12 s.
CUT_HOSTS, CUT_S = 4, 10
APPLY_S = BOUNDS["config_apply_ms"] / 1000


async def case(record, has_trouble):
    deployment = Deployment(record, HOSTS, ["s1", "s2", "s3"])
    try:
        routes = [deployment.route("a", "/a/", "safe", "s1"),
                  deployment.route("b", "/b/", "unsafe", "s2")]
        await deployment.start(routes)
        deployment.start_load([("GET", "/a/x", 0), ("POST", "/b/x", 100)], REQUESTS_PER_HOST_S)
        await asyncio.sleep(5)
        deployment.put_configuration(routes)  # A version without a change, as an ordinary event.
        await asyncio.sleep(0.5)
        cut = deployment.readers()[:CUT_HOSTS] if has_trouble else []
        for host in cut:
            host.gate.is_cut = True
        record.say("cut-from-the-store", hosts=",".join(host.name for host in cut))
        await asyncio.sleep(0.3)
        acknowledged_at = deployment.put_configuration(
            [routes[0], deployment.route("b", "/b/", "unsafe", "s3")])
        await asyncio.sleep(CUT_S)
        for host in cut:
            host.gate.is_cut = False
        await asyncio.sleep(2)
        late = sorted((entry["at"] - acknowledged_at, request_id, entry["host"].name)
                      for request_id, entry in deployment.sent.items()
                      if entry["at"] > acknowledged_at + APPLY_S and entry["host"] not in cut
                      and entry["path"].startswith("/b/") and entry["text"].endswith(b" s2"))
        if late:
            record.say("late-requests", count=len(late), last_s=round(late[-1][0], 2),
                       hosts=len({name for _, _, name in late}))
        return [f"CONFIG: {request_id}, sent {after:.2f} s after the acknowledgement, was run by the "
                f"old service, by way of the undisturbed {name}" for after, request_id, name in late]
    finally:
        await deployment.stop()


run_case(case, os.path.join(FOLDER, "record.txt"))
