"""A leader that is cut off from the store orders upkeep after its successor has ordered it, where fences aren't checked."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig3  # noqa: E402

MACHINES = 3
CUT_S = 5.5
DOWN_S = 5.0


class Cloud:
    """The list of machines and the calls for their upkeep. `requireFencing` is false: it compares no tokens."""

    def __init__(self, rig):
        self.rig, self.down, self.orders, self.upkeep, self.done = rig, False, [], {}, set()

    async def handle(self, method, path, query, headers, body):
        if path == "/egretlb/machines":
            if self.down:
                return (503, {})
            rows = [{"machine": worker.machine, "pool": worker.service, "zone": worker.zone,
                     "state": "upkeep" if worker.machine in self.upkeep else "up",
                     "labels": ["a", worker.rack], "capacity": worker.capacity, "id": worker.name}
                    for worker in self.rig.workers.values()]
            return (200, {"machines": rows, "nextToken": ""})
        call = rig3.json.loads(body)
        holder, token = headers.get("egretlb-duty-holder"), int(headers.get("egretlb-fencing-token", 0))
        machine = call["machine"]
        status = 503 if self.down else 200
        self.orders.append((rig3.now(), machine, holder, token, status))
        self.rig.record("order", "upkeep", machine, "wave", call["wave"], "holder", holder, "token", token, "->", status)
        if status == 200 and machine not in self.upkeep and machine not in self.done:
            self.rig.spawn(self.maintain(machine))
        return (status, {})

    async def maintain(self, machine):
        self.upkeep[machine] = rig3.now()
        worker = next(worker for worker in self.rig.workers.values() if worker.machine == machine)
        await worker.leave()
        await asyncio.sleep(2.0)
        del self.rig.workers[worker.name]
        await rig3.Worker(self.rig, worker.name + "b", worker.service, rack=worker.rack, machine=machine).start()
        del self.upkeep[machine]
        self.done.add(machine)
        self.rig.record("upkeep of", machine, "over")


async def case(rig, trouble):
    # The settings say `requireFencing` false, as on cesq-becas.
    cloud = Cloud(rig)
    server = await rig3.Server(cloud.handle).start()
    rig.routes = [rig.route("q", "svc", rig.prefix)]
    await rig.configure()
    for number in range(MACHINES):
        await rig3.Worker(rig, f"w{number}", "svc", rack=f"r{number}").start()
    await rig.start_nodes(3, {"cloudApi": {"addr": server.addr, "ratePerS": 60.0, "duties": [], "dutyPerS": 60.0}})
    await rig.wait_ready()
    # Each worker runs a task for four seconds, which the first machine's upkeep waits for.
    rig.runtime = lambda run: 4.0
    await rig.client(rig.nodes[0], "POST", rig3.job_id(), {"spec": "x", "steps": [
        {"count": MACHINES, "cpu": 30000, "memMb": 100, "estRuntimeMs": 4000}]})
    await asyncio.sleep(1.0)
    machines = [worker.machine for worker in rig.workers.values()]
    wave = {"wave": 7, "machines": machines, "deadlineS": 60, "cap": 1}
    await rig.store.put("keyed.op", "wave/7", wave)
    rig.record("operator", wave)
    await asyncio.sleep(2.4)
    if trouble:
        cloud.down = True
        available = rig3.now() + DOWN_S
        rig.record("the platform's calls are unavailable for", DOWN_S, "s")
        await wait_for(lambda: cloud.orders, DOWN_S)
        await asyncio.sleep(0.3)
        leader = rig.leader_node()
        rig.store.cut.add(leader.name)
        healed = rig3.now() + CUT_S
        rig.record("cut from the store for", CUT_S, "s:", leader.name)
        await wait_for(lambda: rig3.now() >= available, DOWN_S)
        cloud.down = False
        rig.record("the platform's calls are available")
        await wait_for(lambda: rig3.now() >= healed, CUT_S)
        rig.store.cut.clear()
        rig.record("the cut is over")
    await wait_for(lambda: len(cloud.done) == MACHINES, 40.0)
    if len(cloud.done) < MACHINES:
        raise rig3.CantRun("the wave wasn't done")
    highest, stale = {}, []
    for at, machine, holder, token, status in cloud.orders:
        if token < highest.get(machine, 0):
            stale.append(f"{at:.3f} {machine} token {token} of {holder} after {highest[machine]}")
        highest[machine] = max(token, highest.get(machine, 0))
    return "; ".join(stale)


async def wait_for(condition, limit):
    until = rig3.now() + limit
    while not condition() and rig3.now() < until:
        await asyncio.sleep(0.01)


if __name__ == "__main__":
    rig3.main(HERE, case)
