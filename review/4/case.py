"""A leader is killed while a worker has more unacknowledged ends than one answer holds."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as stand

TASKS = 4000
RUN_MS = 1500
KILL_AFTER_S = 3.0
DOWN_S = 3.5


async def case(rig, trouble):
    job = rig.new_id()
    leader = await rig.leader()
    others = [daemon for daemon in rig.daemons if daemon is not leader]
    body = {"spec": "run=%d" % RUN_MS,
            "steps": [{"count": TASKS, "cpu": 32, "memMb": 100, "estRuntimeMs": RUN_MS, "requiredLabel": "b"}]}
    answer = await rig.submit(others[0], job, body)
    if not answer or answer[0] != 200:
        raise stand.CannotRun("the job wasn't accepted")
    await asyncio.sleep(KILL_AFTER_S)
    for worker in rig.workers.values():
        rig.record.note("worker %s runs %d tasks and lists %d ends" % (
            worker.id, len(worker.running), len(worker.ended)))
    if trouble:
        killed = await rig.leader()
        killed.kill()

        async def restart():
            await asyncio.sleep(DOWN_S)
            killed.launch()
        rig.background(restart())
    for _ in range(300):
        answer = await rig.request(others[0], "GET", stand.PREFIX + job)
        if answer and answer[0] == 200 and answer[1]["state"] != "running":
            break
        await asyncio.sleep(0.25)
    await asyncio.sleep(RUN_MS / 1000 + 1)
    done = {}
    for at, worker, task, run, how, _ in rig.ends:
        if how == "done":
            done.setdefault(task, (at, worker, run))
    # No worker is lost and no lease lapses here; if one did, its ends wouldn't count as taken note of.
    lapsed = {worker.id for worker in rig.workers.values() if worker.lapses}
    noted = {(worker, task, run) for _, worker, task, run, how in rig.noted
             if how == "done" and worker not in lapsed}
    twice = []
    for at, worker, task, run, _ in rig.starts:
        first = done.get(task)
        if first and first[2] < run and first[0] < at and (first[1], task, first[2]) in noted:
            twice.append((task, first, (at, worker, run)))
    rig.record.note("%d tasks ended done, %d ends noted, %d started again after that" % (
        len(done), len(noted), len(twice)))
    for task, first, again in twice[:10]:
        rig.record.note("%s: run %d done on %s, run %d started on %s" % (task, first[2], first[1], again[2], again[1]))
    return "TWICE: %d tasks started again after their run had ended done" % len(twice) if twice else None


stand.main(os.path.dirname(os.path.abspath(__file__)), case, daemons=4, workers=4,
           worker_labels=lambda number: ["b" if number == 0 else "a", "r1-0"])
