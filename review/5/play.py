"""Another writer leaves large unreadable entries below servers/; then the day ends with the final fault kill_all."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
import harness  # noqa: E402
from harness import platform  # noqa: E402

MACHINES = 24  # in three zones, as in the site file
FOREIGN_ENTRIES, FOREIGN_BYTES = 5, 1_000_000  # valueBytes is 1,048,576
RECOVERY_S, DOWN_S, BEFORE_S, AFTER_S = 15, 1.5, 8, 15
REQUESTS_PER_S = 12


class Balancer:
    """The platform's ingress: asks each node once a second, and takes it out after two misses."""

    def __init__(self, machines):
        self.machines, self.misses = machines, {one.name: 2 for one in machines}

    async def run(self):
        while True:
            await asyncio.gather(*(self._ask(one) for one in self.machines), asyncio.sleep(1))

    async def _ask(self, machine):
        self.misses[machine.name] = 0 if await machine.is_ready() else self.misses[machine.name] + 1

    def in_rotation(self, zone):
        return [one for one in self.machines if one.zone == zone and self.misses[one.name] < 2]

    def node_for(self, zone):
        """All zones are equally near to each other here, so another zone with a node in rotation is the nearest."""
        zones = [zone] + sorted({one.zone for one in self.machines} - {zone})
        chosen = next((one for one in zones if self.in_rotation(one)), zone)
        nodes, ready = [one for one in self.machines if one.zone == chosen], self.in_rotation(chosen)
        return random.choice(ready if len(ready) * 2 >= len(nodes) else nodes)


class Traffic:
    def __init__(self, balancer, leafs, record):
        self.balancer, self.leafs, self.record, self.count = balancer, leafs, record, 0
        self.requests = []  # (when sent, status or None)

    async def run(self):
        zones = sorted({one.zone for one in self.balancer.machines})
        running = set()
        while True:
            task = asyncio.create_task(self.client(random.choice(zones)))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def client(self, zone):
        """One client: sends its request and, after a refusal, waits as told and sends it once more."""
        retry_after = await self.send(zone)
        if retry_after is not None:
            await asyncio.sleep(min(retry_after, 2.5 / 3))
            await self.send(zone)

    async def send(self, zone):
        self.count += 1
        sent, name, node = time.monotonic(), f"look{self.count}", self.balancer.node_for(zone)
        try:
            answer = await asyncio.wait_for(platform.Caller().ask(
                node.ip, node.port, "GET", f"/look/{name}", name, 2500, host=harness.HOST), 4)
        except asyncio.TimeoutError:
            answer = None
        status = None if answer is None else answer[0]
        self.requests.append((sent, status))
        ran = [leaf.id for leaf in self.leafs if any(run[0] == name for run in leaf.runs[-50:])]
        self.record.line(f"client {name} to {node.name}: {status}, run by {', '.join(ran) or 'no leaf'}")
        return float(answer[1].get("retry-after", "0")) if status == 503 else None

    def share_served(self, begin, end):
        asked = [status for sent, status in self.requests if begin <= sent < end]
        return sum(status == 200 for status in asked), len(asked)


async def play(record, scratch):
    store = harness.Store()
    store_port = harness.free_ports("127.0.3.1", 1)[0]
    await store.serve("127.0.3.1", store_port)
    machines = await harness.make_machines(MACHINES, store_port, scratch, harness.DALA)
    leafs = []
    for at in range(3):
        leaf = platform.Leaf("registry-desk", list(harness.DALA["zones"])[at], "127.0.4.1", 0, slots=8)
        await leaf.start()
        store.write(f"servers/{leaf.id}", leaf.entry())
        leafs.append(leaf)
    store.write("op/config", platform.config(1, harness.HOST, {}, {"/look/": ("registry-desk", True)}, idle_ms=20000))
    balancer = Balancer(machines)
    traffic = Traffic(balancer, leafs, record)
    tasks = []
    try:
        await asyncio.gather(*(one.start() for one in machines))
        if not await harness.wait_until_ready(machines):
            return harness.NOT_RUN
        tasks = [asyncio.create_task(balancer.run())]
        await asyncio.sleep(2.2)
        tasks.append(asyncio.create_task(traffic.run()))
        began = time.monotonic()
        if harness.TROUBLE:
            for at in range(FOREIGN_ENTRIES):
                store.write_bytes(f"servers/other-{at}", random.Random(at).randbytes(FOREIGN_BYTES))
            record.line(f"another writer wrote {FOREIGN_ENTRIES} entries of {FOREIGN_BYTES} bytes below servers/")
        await asyncio.sleep(BEFORE_S)
        killed = time.monotonic()
        record.line("all processes are killed")
        await asyncio.gather(*(one.kill() for one in machines))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(one.start() for one in machines))
        back = time.monotonic()
        record.line("all machines are back")
        for _ in range(RECOVERY_S + AFTER_S):
            await asyncio.sleep(1)
            ready = sum([await one.is_ready() for one in machines])
            record.line(f"{time.monotonic() - back:.1f} s after their return {ready} of {MACHINES} machines are ready")
        before = traffic.share_served(began + 3, killed)
        after = traffic.share_served(back + RECOVERY_S, time.monotonic() - 4)
        ended = [one.name for one in machines if one.process.returncode is not None]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(one.kill() for one in machines))
    record.line(f"served before the final fault: {before[0]} of {before[1]}")
    record.line(f"served later than {RECOVERY_S} s after the machines are back: {after[0]} of {after[1]}")
    record.line(f"processes that ended by themselves: {len(ended)}")
    if before[0] * 4 < before[1] or not after[1]:
        return harness.NOT_RUN
    return harness.BROKEN if after[0] * 4 < after[1] else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
