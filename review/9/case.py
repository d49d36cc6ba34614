"""Tasks of a scheduled job's occurrences run twice after the leader was cut off from the store."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig3  # noqa: E402

STEPS = 20
TIMES = 900
CUT_S = 5.5


def runtime(run):
    """The first step takes 0.3 s, the second one seconds, and the others 0.1 s."""
    _, occurrence, step, _ = run.task.split(".")
    if step == "0":
        return 0.3
    return min(6.0 + int(occurrence) * 0.1, 60.0) if step == "1" else 0.1


async def case(rig, trouble):
    rig.routes = [rig.route("q", "svc", rig.prefix)]
    await rig.configure()
    for number in range(6):
        await rig3.Worker(rig, f"w{number}", "svc", rack=f"r{number}").start()
    rig.runtime = runtime
    await rig.start_nodes(3)
    await rig.wait_ready()
    task = {"count": 1, "cpu": 100, "memMb": 10}
    steps = [{**task, "estRuntimeMs": 300}, {**task, "estRuntimeMs": 20000, "after": [0]}]
    steps += [{**task, "estRuntimeMs": 100, "after": [1]} for _ in range(STEPS - 2)]
    first = int(time.time() * 1000) - 3_600_000
    job = rig3.job_id()
    answer = await rig.client(rig.nodes[0], "POST", job, {
        "spec": "merge", "steps": steps, "firstMs": first, "intervalMs": 1000, "repeatCount": TIMES})
    if not answer or answer[0] != 200:
        raise rig3.CantRun("the job wasn't accepted")
    await asyncio.sleep(14.0)
    if trouble:
        leader = rig.leader_node()
        rig.store.cut.add(leader.name)
        rig.record("cut from the store for", CUT_S, "s:", leader.name)
        await asyncio.sleep(CUT_S)
        rig.store.cut.clear()
        rig.record("the cut is over")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(20.0)
    broken = []
    for at, worker, name, run in rig.starts:
        done, noted = rig.done.get(name), rig.noted.get(name)
        # An end counts as taken note of unless its worker's lease lapsed in between.
        if done and noted and at > done[0] and not any(done[0] <= lapse <= noted[0] for lapse in rig.workers[done[1]].lapsed):
            broken.append(f"{name} run {run} started at {at:.3f} on {worker}, done at {done[0]:.3f} as run {done[2]} on "
                          f"{done[1]}, taken note of at {rig.noted[name][0]:.3f}")
    rig.record(len(rig.starts), "starts,", len(rig.done), "tasks done")
    for line in broken:
        rig.record("twice:", line)
    return f"{len(broken)} tasks started again after they had ended done" if broken else ""


if __name__ == "__main__":
    rig3.main(HERE, case)
