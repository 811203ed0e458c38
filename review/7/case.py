"""A worker leaves without a report just after the store has cut the waiting watches."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins_2 as standins

ROUTES = [("leny950", "safe", "quotebook", 800, 200), ("puka111", "unsafe", "orderdesk", 1000, 250)]
STEADY_S = 4.0  # Longer than contact_ms, so that all hosts and the store count as undisturbed.
LITTLE_LONGER_S = 0.3  # The worker serves for drain_ms and a little longer, and then exits.


async def call_again_and_again(client, method, path, until):
    answers = {}
    while time.monotonic() < until:
        request_id, status = await client.call(method, path, 1000)
        answers[request_id] = status
        await asyncio.sleep(0.05)
    return answers


async def case(deployment):
    for number in range(10):
        deployment.add_worker(number, ["quotebook", "orderdesk"][number % 2],
                              standins.ZONES[number // 2 % 2], work_s=0.078)
    await deployment.start("r7", ROUTES)
    end = time.monotonic() + STEADY_S + 5
    clients = []
    for number in range(24):
        host = deployment.hosts[number % len(deployment.hosts)]
        client = standins.Client(deployment, host, f"c{number}")
        request = ("GET", "/leny950/2f") if number // 4 % 2 else ("POST", "/puka111/2f")
        clients.append(asyncio.ensure_future(call_again_and_again(client, *request, end)))
    await asyncio.sleep(STEADY_S)

    leaving = deployment.workers[1]
    if standins.is_disturbed():
        deployment.store.cut_watches()
    await asyncio.sleep(0.02)
    acknowledged = deployment.store.remove(f"servers/{leaving.id}")
    await asyncio.sleep(standins.DRAIN_S + LITTLE_LONGER_S)
    leaving.crash()
    await asyncio.wait(clients)

    arrivals = sorted(run[0] - acknowledged for run in leaving.runs.values())
    late = [at for at in arrivals if at > standins.DRAIN_S]
    total = sum(len(worker.runs) for worker in deployment.workers)
    answers = {}
    for client in clients:
        answers.update(client.result())
    lost = [request_id for request_id in leaving.runs if answers.get(request_id) != 200]
    print(f"{total} requests ran; the last at the worker that left came {arrivals[-1]:.3f} s after "
          f"the acknowledgement; {len(late)} came later than drain_ms; the worker had begun "
          f"{len(lost)} orders whose clients got no success: "
          f"{[(request_id, answers.get(request_id)) for request_id in lost]}")
    deployment.record.write(f"late: {[round(at, 3) for at in late]}")
    return not late


standins.run(FOLDER, case)
