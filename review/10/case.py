"""A consumer leaves before its job's submission is answered and cancels the job: the cancel is acknowledged, and the job runs."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig3  # noqa: E402

JOBS = 32
LEAVE = 4  # Each fourth consumer leaves: a share of 0.25.
SLOW_X = 50.0
SLOW_S = 4.5
PATIENCE_S = 0.125
CANCEL_S = 3.0
CONTACT_S = 3.0
GAP_S = 0.12
FIRST_STEP_S = 9.0


async def consumer(rig, number, job, cancelled):
    """Submits a job. Each fourth consumer leaves after half of its objective, and cancels the job at another node until that is answered."""
    body = {"spec": "notice", "steps": [
        {"count": 1, "cpu": 1000, "memMb": 100, "estRuntimeMs": 9000},
        {"count": 1, "cpu": 1000, "memMb": 100, "estRuntimeMs": 500, "after": [0]}]}
    node, other = rig.nodes[number % 3], rig.nodes[(number + 1) % 3]
    if number % LEAVE:
        await rig.client(node, "POST", job, body)
        return
    await rig.client(node, "POST", job, body, timeout=PATIENCE_S)
    while True:
        answer = await rig.client(other, "DELETE", job)
        if answer and (answer[0] == 410 or 200 <= answer[0] < 300):
            cancelled[job] = (rig3.now(), answer[0])
            return
        await asyncio.sleep(0.5)


async def case(rig, trouble):
    rig.routes = [rig.route("q", "svc", rig.prefix)]
    await rig.configure()
    for number in range(3):
        await rig3.Worker(rig, f"w{number}", "svc", rack=f"r{number}").start()
    rig.runtime = lambda run: FIRST_STEP_S if run.task.split(".")[2] == "0" else 0.5
    await rig.start_nodes(3)
    await rig.wait_ready()
    await asyncio.sleep(1.0)
    slow_until = rig3.now()
    if trouble:
        rig.store.slow = SLOW_X
        slow_until += SLOW_S
        rig.record("the store's answers take", SLOW_X, "times as long for", SLOW_S, "s")
        rig.spawn(end_slowness(rig))
    jobs, cancelled, consumers = [rig3.job_id() for _ in range(JOBS)], {}, []
    await asyncio.sleep(0.3)
    for number, job in enumerate(jobs):
        consumers.append(rig.spawn(consumer(rig, number, job, cancelled)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*consumers)
    await asyncio.sleep(FIRST_STEP_S + 6.0)
    broken = []
    for at, worker, task, run in rig.starts:
        job = task.split(".")[0]
        if job not in cancelled:
            continue
        acknowledged, status = cancelled[job]
        calm = at - slow_until >= CONTACT_S
        if calm and at - acknowledged > CANCEL_S:
            broken.append(f"{task} run {run} started {at - acknowledged:.1f} s after the cancel was answered {status}")
    for job in jobs:
        await rig.client(rig.nodes[0], "GET", job)
    return "; ".join(broken)


async def end_slowness(rig):
    await asyncio.sleep(SLOW_S)
    rig.store.slow = 1.0
    rig.record("the store answers as usual")


if __name__ == "__main__":
    rig3.main(HERE, case)
