"""A planned stop cuts requests that leafs are still at work on; see claim.txt."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the deployment that claim.txt names.
BOUNDS = {"retryBudgetRatio": 0.2, "retryBudgetSlack": 58, "budgetWindowS": 10, "drainMs": 3000, "graceS": 6,
          "configApplyMs": 3000}
TIME_LIMIT_MS = 8000  # of the client, and the route's timeoutMs
USUAL_WORK_MS = 220  # the mean of the deployment's single look-up
LONG_WORK_MS = 1300  # the longest work of that look-up
MACHINES, LEAFS, CLIENTS = 3, 10, 14
LEAD_S = 10.0  # traffic starts so long after the machines do
STABLE_S = 5.0  # more than stableWindowMs without any disturbance before the stop
FIRST_SEND_S, SEND_STEP_S = 3.9, 0.04  # after SIGTERM; the last one 4.42 s after it
EXCUSED_SEND_S = 3.0  # requests sent by then may be cut while their leaf works in the last sixth of graceS


async def use(connection, number, began, results, record):
    """One client: a look-up before the stop, and another one on the same connection, late in the stop."""
    once = number % 2 == 1
    prefix, method, body = ("/hold/", "POST", b"unit=7") if once else ("/file/", "GET", b"")
    first = await connection.ask(method, f"{prefix}w{USUAL_WORK_MS}/{number}", f"first-{number}", TIME_LIMIT_MS, body)
    if first is None or first[0] != 200:
        raise RuntimeError(f"client {number} was not served before the stop")
    send_at = began + STABLE_S + FIRST_SEND_S + SEND_STEP_S * number
    await asyncio.sleep(send_at - time.monotonic())
    sent = time.monotonic()
    answer = await connection.ask(method, f"{prefix}w{LONG_WORK_MS}/{number}", f"late-{number}", TIME_LIMIT_MS, body)
    results[f"late-{number}"] = (sent, time.monotonic(), answer, once)


async def play(folder, record):
    # Hides the tracebacks of stand-in connections that the end of the case cancels.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    ips = [f"127.0.3.{at + 1}" for at in range(MACHINES)]
    ports = deployment.free_ports(5, ips)
    store = deployment.platform.Store()
    store_server = await store.serve(deployment.STORE_IP, 0)
    store_port = store_server.sockets[0].getsockname()[1]
    leafs = [deployment.Leaf(record, f"i-{at}", "records", f"zone{at % 3 + 1}") for at in range(LEAFS)]
    for leaf in leafs:
        await leaf.start()
        store.write(f"servers/{leaf.id}", leaf.entry())
    routes = [deployment.route("file", "/file/", "idempotent", "records", TIME_LIMIT_MS, 800),
              deployment.route("hold", "/hold/", "non_idempotent", "records", TIME_LIMIT_MS, 800)]
    store.write("op/config", deployment.config(7, routes, ["records"], idle_ms=20000))
    seeds = [f"{ip}:{ports + 2}" for ip in ips]
    machines = [deployment.Process(record, folder, at, ports, store_port, seeds, BOUNDS) for at in range(MACHINES)]
    probes = []
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            if not await machine.wait_until_ready():
                record.write(f"case    {machine.name} did not become ready")
                return 2
        probes = [asyncio.create_task(machine.probe_readiness()) for machine in machines]
        await asyncio.sleep(max(0.0, LEAD_S - record.now()))
        stopped = machines[0]
        connections = [deployment.Connection(record, stopped) for _ in range(CLIENTS)]
        for connection in connections:
            await connection.open()
        began, results = time.monotonic(), {}
        clients = [asyncio.create_task(use(one, at, began, results, record)) for at, one in enumerate(connections)]
        await asyncio.sleep(began + STABLE_S - time.monotonic())
        stop_at = time.monotonic()
        if TROUBLE:
            record.write(f"signal  SIGTERM to {stopped.name}")
            stopped.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(stopped.process.wait(), stop_at + BOUNDS["graceS"] - time.monotonic())
            except asyncio.TimeoutError:
                record.write(f"signal  SIGKILL to {stopped.name}")
                stopped.send(signal.SIGKILL)
                await stopped.process.wait()
            record.write(f"end     {stopped.name} {time.monotonic() - stop_at:.3f} s after SIGTERM, "
                         f"exit code {stopped.process.returncode}")
        await asyncio.gather(*clients)
        return judge(results, leafs, stop_at, record)
    finally:
        for probe in probes:
            probe.cancel()
        for machine in machines:
            machine.kill()
        for machine in machines:
            if machine.process is not None:
                await machine.process.wait()


def judge(results, leafs, stop_at, record):
    """LOST around a SIGTERM: passed on to a leaf, and the connection ended without a whole answer."""
    passed_on = {run[0] for leaf in leafs for run in leaf.runs}
    lost = 0
    for name, (sent, ended, answer, once) in sorted(results.items(), key=lambda one: one[1][0]):
        after_s, waited_s = sent - stop_at, ended - sent
        kind = "non_idempotent" if once else "idempotent"
        is_lost = (answer is None and name in passed_on and waited_s < TIME_LIMIT_MS / 1000 * 0.95
                   and after_s > EXCUSED_SEND_S)
        lost += is_lost
        outcome = "LOST" if is_lost else ("no answer" if answer is None else str(answer[0]))
        record.write(f"judge   {name} ({kind}) sent {after_s:.3f} s after the stop began, ended after {waited_s:.3f} s: "
                     f"{outcome}")
        if not TROUBLE and (answer is None or answer[0] != 200):
            lost += 1
    record.write(f"judge   {lost} of {len(results)} requests lost")
    return 1 if lost else 0


def main():
    record = deployment.Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(play(pathlib.Path(folder), record), 100))
        except Exception as problem:  # the case could not run
            record.write(f"case    could not run: {type(problem).__name__}: {problem}")
            code = 2
    record.write(f"exit    {code}")
    return code


sys.exit(main())
