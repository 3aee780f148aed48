"""A leaf crashes while it sends an answer without a length to a long request that it has not read to its end."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
import harness  # noqa: E402
import order_desk  # noqa: E402
from harness import platform  # noqa: E402

ROUNDS, BODY_BYTES, MAX_BODY_BYTES = 6, 260_000, 262_144
LEAFS = 5  # of order-desk, as in the site file


class LeafProcess:
    def __init__(self, at):
        self.id, self.at = f"i-order-{at}", at
        self.port, self.lines, self.process = harness.free_ports("127.0.4.1", 1)[0], asyncio.Queue(), None

    def entry(self, sequence=1):
        return {"service": "order-desk", "address": f"127.0.4.1:{self.port}", "zone": "binh-duong", "version": "v1",
                "slots": 4, "state": "ready", "coldRemainingMs": 0, "sequence": sequence}

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER / "order_desk.py"), str(self.port), self.id, stdout=asyncio.subprocess.PIPE)
        self.reading = asyncio.create_task(self._read())
        await self.until("listens")

    async def _read(self):
        while line := await self.process.stdout.readline():
            await self.lines.put(line.decode().strip())

    async def until(self, start):
        while True:
            line = await asyncio.wait_for(self.lines.get(), 5)
            if line.startswith(start):
                return line

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def post(machine, request_id, record):
    """Sends one work order. Returns status, headers and body of a complete answer, else None."""
    body = b"order " * (BODY_BYTES // 6)
    reader, writer = await asyncio.open_connection(machine.ip, machine.port)
    writer.write(f"POST /orders/{request_id} HTTP/1.1\r\nHost: {harness.HOST}\r\nRequest-Id: {request_id}\r\n"
                 f"Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    record.line(f"client sent {request_id} body={len(body)}")
    try:
        message = await asyncio.wait_for(platform.read_message(reader), 6)
    except asyncio.TimeoutError:
        message = None
    writer.close()
    return None if message is None else (int(message[0].split(" ")[1]), message[1], message[2])


async def first_to_run(leafs, record):
    """Returns the leaf that begins to answer, as soon as it has sent the first half."""
    waits = {asyncio.create_task(leaf.until("half")): leaf for leaf in leafs}
    done, others = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED, timeout=5)
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    task = next(iter(done))
    record.line(f"leaf {waits[task].id} ran: {task.result()}")
    return waits[task]


async def play(record, scratch):
    store = harness.Store()
    store_port = harness.free_ports("127.0.3.1", 1)[0]
    await store.serve("127.0.3.1", store_port)
    machine = (await harness.make_machines(1, store_port, scratch))[0]
    config = platform.config(1, harness.HOST, {}, {"/orders/": ("order-desk", False)}, idle_ms=20000)
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    config["routes"][0].update(timeoutMs=3000, targetLatencyMs=500)
    store.write("op/config", config)
    wrong, leafs, started = 0, [], 0

    async def add_leaf():
        nonlocal started
        leaf = LeafProcess(started)
        started += 1
        await leaf.start()
        leafs.append(leaf)
        store.write(f"servers/{leaf.id}", leaf.entry())

    try:
        for _ in range(LEAFS):
            await add_leaf()
        await machine.start()
        if not await harness.wait_until_ready([machine]):
            return harness.NOT_RUN
        for at in range(ROUNDS):
            request_id = f"order{at}"
            answering = asyncio.create_task(post(machine, request_id, record))
            leaf = await first_to_run(leafs, record)
            if harness.TROUBLE:
                await asyncio.sleep(0.15)
                record.line(f"leaf {leaf.id} is killed (SIGKILL)")
                await leaf.kill()
            answer = await answering
            whole = order_desk.answer_to(request_id)
            if answer is None:
                record.line(f"client got no complete answer to {request_id}")
            else:
                status, headers, body = answer
                stamp = headers.get("response-stamp", "")
                record.line(f"client got {status} stamp={stamp} body={len(body)} of {len(whole)} bytes")
                wrong += 200 <= status < 300 and body != whole
                if not harness.TROUBLE and status != 200:
                    record.line("without the disruption the request has to be served")
                    return harness.NOT_RUN
            if harness.TROUBLE:
                leafs.remove(leaf)
                store.write(f"servers/{leaf.id}", None)
                await add_leaf()
            await asyncio.sleep(1.5)  # until the entries are known
    finally:
        await machine.kill()
        for leaf in leafs:
            await leaf.kill()
    record.line(f"successes with a body that isn't the leaf's whole body: {wrong} of {ROUNDS}")
    return harness.BROKEN if wrong > 0 else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
