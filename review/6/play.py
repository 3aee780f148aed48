"""Another writer leaves one entry below servers/ whose coldRemainingMs is a list of lists instead of a number."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
import harness  # noqa: E402
from harness import platform  # noqa: E402

MACHINES, WATCHED_S, RESTART_DELAY_S = 6, 20, 0.5
DEPTH = 500_000 if harness.TROUBLE else 1  # without the disruption the field has the wrong type as well, [[]]
VALUE_BYTES = 1_048_576  # valueBytes of the settings


def foreign_entry():
    """Returns an entry with all fields, one of them of another type."""
    fields = ('{"service":"order-desk","address":"127.0.4.1:9","zone":"almaty-a","version":"v1","slots":1,'
              '"state":"ready","sequence":1,"born":1,"coldRemainingMs":')
    entry = (fields + "[" * DEPTH + "]" * DEPTH + "}").encode()
    assert len(entry) <= VALUE_BYTES
    return entry


async def keep_running(machine, ends, record):
    """Starts the process again whenever it ends, as the platform does."""
    while True:
        await machine.process.wait()
        ends[machine.name] += 1
        record.line(f"{machine.name} ended by itself, code {machine.process.returncode}")
        await asyncio.sleep(RESTART_DELAY_S)
        await machine.start()


async def ask_each(machines, leaf, number, record):
    """Sends one request to each machine. Returns how many got 200."""
    async def one(machine):
        name = f"q{number}-{machine.name}"
        answer = await platform.Caller().ask(machine.ip, machine.port, "GET", f"/look/{name}", name, 2000, host=harness.HOST)
        ran = any(run[0] == name for run in leaf.runs)
        record.line(f"client {name}: {None if answer is None else answer[0]}, {'run' if ran else 'not run'} by the leaf")
        return answer is not None and answer[0] == 200

    return sum(await asyncio.gather(*(one(machine) for machine in machines)))


async def play(record, scratch):
    store = harness.Store()
    store_port = harness.free_ports("127.0.3.1", 1)[0]
    await store.serve("127.0.3.1", store_port)
    machines = await harness.make_machines(MACHINES, store_port, scratch, harness.DALA)
    leaf = platform.Leaf("registry-desk", "almaty-a", "127.0.4.1", 0, slots=8)
    await leaf.start()
    store.write(f"servers/{leaf.id}", leaf.entry())
    store.write("op/config", platform.config(1, harness.HOST, {}, {"/look/": ("registry-desk", True)}, idle_ms=20000))
    ends, tasks = {one.name: 0 for one in machines}, []
    try:
        await asyncio.gather(*(one.start() for one in machines))
        if not await harness.wait_until_ready(machines):
            return harness.NOT_RUN
        tasks = [asyncio.create_task(keep_running(one, ends, record)) for one in machines]
        if await ask_each(machines, leaf, 0, record) < MACHINES:
            return harness.NOT_RUN
        store.write_bytes("servers/other", foreign_entry())
        record.line(f"another writer wrote one entry of {len(foreign_entry())} bytes below servers/")
        for second in range(1, WATCHED_S + 1):
            await asyncio.sleep(1)
            record.line(f"{await ask_each(machines, leaf, second, record)} of {MACHINES} machines served a request")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(one.kill() for one in machines))
    often = [name for name, count in ends.items() if count >= 3]
    record.line(f"processes ended by themselves: {ends}; three times or more on {len(often)} of {MACHINES} machines")
    return harness.BROKEN if len(often) >= max(2, MACHINES / 10) else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
