"""Machines that ran all the while ask a leaf that left, since the machine that they follow has just started; see claim.txt."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the deployment that claim.txt names.
BOUNDS = {"retryBudgetRatio": 0.2, "retryBudgetSlack": 52, "budgetWindowS": 10, "drainMs": 3000, "graceS": 6,
          "configApplyMs": 3000}
DRAIN_S, CHECK_IN_S, STABLE_S = 3.0, 1.2, 4.0  # drainMs, heartbeatMs, stableWindowMs
MACHINES, SEEDS, LEAFS = 6, 3, 5
LEAD_S = 10.0  # traffic starts so long after the machines do
BEFORE_S = 7.0  # of traffic before the leaf leaves
# Seconds relative to the kill.
LOST_FROM, LOST_TO = -5.4, -5.0  # the store applies check-ins of this time late
REMOVED_AT, APPLIED_AT, RESTART_AT = 0.05, 0.15, 0.25
SERVES_ON_S = 9.0  # the leaf goes on serving after its removal: drainMs and some seconds more
OBSERVED_S = 8.0
TIME_LIMIT_MS, WORK_MS = 3000, 20


async def client(number, machine, running, record):
    connection, sent = deployment.Connection(record, machine), 0
    source = random.Random(number)
    await connection.open()
    while running():
        sent += 1
        answer = await connection.ask("GET", f"/order/w{WORK_MS}/{number}-{sent}", f"{machine.name}.{number}.{sent}",
                                      TIME_LIMIT_MS)
        if answer is None or answer[1].get("connection") == "close":
            connection.close()
            await connection.open()
        await asyncio.sleep(source.uniform(0.05, 0.15))
    connection.close()


async def until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def leave(store, leaf, zero, record):
    """The leaf is taken away without a word of it. A check-in that it had sent before is applied late."""
    entry = leaf.entry()
    await until(zero + LOST_FROM)
    record.write(f"store   a check-in of {leaf.id} is not answered, and is applied {APPLIED_AT - LOST_FROM:.2f} s later")
    await until(zero + LOST_TO)
    record.write("store   undisturbed again")
    await until(zero + REMOVED_AT)
    store.write(f"servers/{leaf.id}", None)
    removed_at = time.monotonic()
    record.write(f"store   entry of {leaf.id} removed, revision {store.revision}")
    await until(zero + APPLIED_AT)
    store.write(f"servers/{leaf.id}", {**entry, "sequence": 2})
    record.write(f"store   late check-in of {leaf.id} applied, revision {store.revision}")
    await until(zero + APPLIED_AT + 3 * CHECK_IN_S)
    store.write(f"servers/{leaf.id}", None)
    record.write(f"store   entry of {leaf.id} removed after three intervals of silence, revision {store.revision}")
    return removed_at


async def kill_and_restart(machines, zero, record):
    await until(zero)
    for machine in machines:
        record.write(f"signal  SIGKILL to {machine.name}")
        machine.send(signal.SIGKILL)
    for machine in machines:
        await machine.process.wait()
    await until(zero + RESTART_AT)
    for machine in machines:
        await machine.start()


async def play(folder, record):
    # Hides the tracebacks of stand-in connections that the end of the case cancels.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    ips = [f"127.0.3.{at + 1}" for at in range(MACHINES)]
    ports = deployment.free_ports(5, ips)
    store = deployment.platform.Store()
    store_server = await store.serve(deployment.STORE_IP, 0)
    store_port = store_server.sockets[0].getsockname()[1]
    zones = ["zone1", "zone2", "zone3", "zone2", "zone3"]
    leafs = [deployment.Leaf(record, f"i-{at}", "orders", zones[at]) for at in range(LEAFS)]
    for leaf in leafs:
        await leaf.start()
        store.write(f"servers/{leaf.id}", leaf.entry())
    routes = [deployment.route("order", "/order/", "idempotent", "orders", TIME_LIMIT_MS, 500)]
    store.write("op/config", deployment.config(7, routes, ["orders"], idle_ms=20000))
    seeds = [f"{ip}:{ports + 2}" for ip in ips[:SEEDS]]
    machines = [deployment.Process(record, folder, at, ports, store_port, seeds, BOUNDS) for at in range(MACHINES)]
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            if not await machine.wait_until_ready():
                record.write(f"case    {machine.name} did not become ready")
                return 2
        await asyncio.sleep(max(0.0, LEAD_S - record.now()))
        calm, zero = machines[SEEDS:], time.monotonic() + BEFORE_S
        tasks = [asyncio.create_task(client(at, calm[at % len(calm)],
                                            lambda: time.monotonic() < zero + OBSERVED_S, record))
                 for at in range(6)]
        leaving = asyncio.create_task(leave(store, leafs[0], zero, record))
        if TROUBLE:
            tasks.append(asyncio.create_task(kill_and_restart(machines[:SEEDS], zero, record)))
        await asyncio.gather(*tasks)
        return judge(leafs[0], await leaving - record.began, record)
    finally:
        for machine in machines:
            machine.kill()
        for machine in machines:
            if machine.process is not None:
                await machine.process.wait()


def judge(leaf, removed_at, record):
    """DRAIN: requests that reached the leaf later than drainMs after the store's removal. Their clients sent them to
    machines that no signal went to, and which pass requests on this route on themselves."""
    before = [run for run in leaf.runs if run[1] <= removed_at]
    late = [run for run in leaf.runs if DRAIN_S < run[1] - removed_at < SERVES_ON_S]
    for run in late:
        record.write(f"judge   {run[0]} reached {leaf.id} {run[1] - removed_at:.3f} s after its removal")
    record.write(f"judge   {len(late)} requests reached {leaf.id} later than {DRAIN_S} s after its removal "
                 f"({len(before)} before it)")
    if not before:
        return 2  # the leaf was not in use, so the play shows nothing
    return 1 if late else 0


def main():
    record = deployment.Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(play(pathlib.Path(folder), record), 100))
        except Exception as problem:  # the case could not run
            record.write(f"case    could not run: {type(problem).__name__}: {problem}")
            code = 2
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.write(f"exit    {code}")
    return code


sys.exit(main())
