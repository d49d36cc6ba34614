"""A configuration adds a queue of priority 300 and removes another: the removed queue goes on, the new one is never there."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig3  # noqa: E402

APPLY_S = 2.0


async def case(rig, trouble):
    rig.routes = [rig.route("old", "svc", "/old/"), rig.route("kept", "svc", "/kept/")]
    await rig.configure()
    for number in range(3):
        await rig3.Worker(rig, f"w{number}", "svc", rack=f"r{number}").start()
    await rig.start_nodes(3)
    await rig.wait_ready()
    body = {"spec": "check", "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "estRuntimeMs": 500}]}
    rig.routes = [rig.route("kept", "svc", "/kept/"), rig.route("new", "svc", "/new/", priority=300 if trouble else 3)]
    await rig.configure()
    await asyncio.sleep(APPLY_S + 3.0)
    broken = []
    for number in range(6):
        node = rig.nodes[number % 3]
        answer = await rig.client(node, "POST", rig3.job_id(), body, prefix="/old/")
        if answer and answer[0] == 200:
            broken.append(f"{node.name} took a job of the dropped queue")
        answer = await rig.client(node, "POST", rig3.job_id(), body, prefix="/new/")
        if answer and answer[0] != 200:
            rig.record(node.name, "refused the new queue's job:", answer[0])
        await asyncio.sleep(1.0)
    await asyncio.sleep(2.0)
    return "; ".join(broken)


if __name__ == "__main__":
    rig3.main(HERE, case)
