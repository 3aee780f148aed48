"""A small deployment on loopback addresses for the cases in this folder: real processes, started with the command of the
deploy file, and stand-ins for the leafs, the operator and the platform's readiness probes.

The store is that of platform/standin. Leafs here have slots and a queue, and every request states in its path for how
long a leaf works on it, so that a case decides what a sound leaf does.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "standin"))
import platform_standin as platform  # noqa: E402

HOST = "review.example"
LEAF_IP = "127.0.4.1"
STORE_IP = "127.0.4.2"


def deploy_command():
    """Returns the words of `run` in the deploy file."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.split("=", 1)[1].strip().strip('"').split()
    raise RuntimeError("deploy/system.toml has no run")


class Record:
    """The file of what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count, addresses):
    """Returns `count` consecutive ports that are free at all addresses, below the ephemeral range."""
    for _ in range(200):
        base = random.randrange(12000, 30000)
        sockets = []
        try:
            for address in addresses:
                for port in range(base, base + count):
                    one = socket.socket()
                    sockets.append(one)
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    one.bind((address, port))
            return base
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise RuntimeError("no free ports")


class Leaf:
    """A sound leaf: `slots` requests at a time, up to `queue` more wait, it refuses others with Not-Executed.

    The path of a request says how long it works: /prefix/wMILLISECONDS/anything.
    """

    def __init__(self, record, instance, service, zone, slots=4, queue=16):
        self.record, self.id, self.service, self.zone = record, instance, service, zone
        self.slots, self.queue, self.running, self.waiting = slots, queue, 0, 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (request id, start, end or None)

    async def start(self):
        self.server = await asyncio.start_server(self._connection, LEAF_IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "address": f"{LEAF_IP}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1}

    async def _connection(self, reader, writer):
        try:
            while (message := await platform.read_message(reader)) is not None:
                writer.write(await self._serve(*message))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _serve(self, line, headers, body):
        _, path, _ = line.split(" ")
        request_id = headers.get("request-id", "")
        load = {"Request-Id": request_id, "Server-Load": f"{self.running},{self.waiting},{self.slots}"}
        if headers.get("expect-instance", self.id) != self.id:
            return platform.response(421, {"Request-Id": request_id, "Instance-Id": self.id})
        if not request_id or self.waiting >= self.queue:
            return platform.response(503, {**load, "Not-Executed": "1"})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            run = [request_id, self.record.now(), None]
            self.runs.append(run)
            self.record.write(f"run     {request_id} begins at {self.id} deadline-ms={headers.get('deadline-ms')}")
            work_ms = next((int(part[1:]) for part in path.split("/") if part[:1] == "w" and part[1:].isdigit()), 5)
            await asyncio.sleep(work_ms / 1000)
            self.running -= 1
            run[2] = self.record.now()
            self.record.write(f"run     {request_id} ends at {self.id}")
        answer = hashlib.sha256(request_id.encode()).hexdigest().encode()
        return platform.response(200, {**load, "Response-Stamp": platform.digest_of(self.id, request_id, answer)}, answer)


class Process:
    """One process with the settings that the deploy file's template gives a machine of a small deployment."""

    def __init__(self, record, folder, at, ports, store_port, seeds, bounds):
        self.record, self.ip, self.port, self.name = record, f"127.0.3.{at + 1}", ports, f"front-{at + 1}"
        settings = {
            "vm": self.name, "zone": f"zone{at % 3 + 1}",
            "listen": {"callers": f"{self.ip}:{ports}", "readiness": f"{self.ip}:{ports + 1}",
                       "peers": f"{self.ip}:{ports + 2}", "helper_port": ports + 3, "metrics": f"{self.ip}:{ports + 4}"},
            "store": {"address": f"{STORE_IP}:{store_port}"}, "seeds": seeds,
            "cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
            "regions": {f"zone{n}": "region" for n in (1, 2, 3)},
            "scheduling": {"priorities": False, "hedging": False},
            "limits": {"retry_ratio": bounds["retryBudgetRatio"], "retry_slack": bounds["retryBudgetSlack"],
                       "retry_window_s": bounds["budgetWindowS"], "leaf_heartbeat_ms": 1200,
                       "drain_ms": bounds["drainMs"], "grace_s": bounds["graceS"],
                       "apply_ms": bounds["configApplyMs"]}}
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log, self.process = folder / f"{self.name}.log", None

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "CHIVELOCK_NODE_FILE": str(self.settings)})
        self.record.write(f"start   {self.name} pid={self.process.pid}")

    def send(self, signal_number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.port + 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(platform.read_message(reader), 1)
            writer.close()
            return answer is not None and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def probe_readiness(self):
        """The platform asks once per second."""
        while True:
            ready = await self.is_ready()
            self.record.write(f"probe   {self.name} {'ready' if ready else 'not ready'}")
            await asyncio.sleep(1)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)


def route(name, prefix, kind, service, timeout_ms, objective_ms):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": objective_ms, "priority": 2, "service": service, "maxAttempts": 2}


def config(version, routes, services, idle_ms):
    return {"version": version, "routes": routes,
            "services": [{"name": one, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
                         for one in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": idle_ms}}


class Connection:
    """A kept connection of one client."""

    def __init__(self, record, process):
        self.record, self.process = record, process

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.process.ip, self.process.port)

    async def ask(self, method, path, request_id, time_limit_ms, body=b""):
        """Sends one request. Returns (status, headers, body), or None if the connection ended without a whole answer."""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                f"Deadline-Ms: {time_limit_ms}\r\n")
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.record.write(f"send    {request_id} {method} {path} to {self.process.name}")
        try:
            self.writer.write((head + length + "\r\n").encode() + body)
            await self.writer.drain()
            message = await asyncio.wait_for(platform.read_message(self.reader), time_limit_ms / 1000)
        except asyncio.TimeoutError:
            self.record.write(f"answer  {request_id} none within the time limit")
            return None
        except (OSError, asyncio.LimitOverrunError):
            message = None
        if message is None:
            self.record.write(f"answer  {request_id} none: the connection ended")
            return None
        status = int(message[0].split(" ")[1])
        self.record.write(f"answer  {request_id} {status} {message[2][:40].decode('latin-1')}")
        return status, message[1], message[2]

    def close(self):
        self.writer.close()
