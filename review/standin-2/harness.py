"""Shared parts of the scripts: settings as the template gives them, gateway processes, a record of what happened.

The store is the project's own stand-in. Every address is a loopback address; ports are chosen by the kernel.
"""

import asyncio
import base64
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform" / "standin"))
import platform_standin as platform  # noqa: E402

HOST = "orders.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(address, count):
    """Returns ports that were free a moment ago at `address`."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((address, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Record:
    """Writes one line for each event to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def line(self, text):
        stamped = f"{time.monotonic() - self.began:8.3f} {text}"
        print(stamped, file=self.file, flush=True)
        print(stamped, flush=True)


# The fields of a deployment, as its site file and its sheet give them, that deploy/gateway.json.template uses.
SMHESA = {
    "zones": {"binh-duong": "nam-bo", "dong-nai": "nam-bo", "thu-duc": "nam-bo", "long-an": "nam-bo"},
    "machine": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
    "limits": {"retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10, "leaf_heartbeat_ms": 1200, "drain_ms": 3000,
               "grace_s": 6, "apply_ms": 3000}}
DALA = {
    "zones": {"almaty-a": "kz-almaty", "almaty-b": "kz-almaty", "almaty-c": "kz-almaty"},
    "machine": {"cpu_share": 0.28, "memory_mb": 380, "max_fds": 8192, "link_mbps": 52.0},
    "limits": {"retry_ratio": 0.2, "retry_slack": 158, "retry_window_s": 10, "leaf_heartbeat_ms": 1200, "drain_ms": 5000,
               "grace_s": 6, "apply_ms": 5000}}


class Store(platform.Store):
    """The project's stand-in of the store, with pages of at most some 500 items or 1 MB, and values of any bytes."""

    PAGE_BYTES, PAGE_ITEMS = 1_000_000, 500

    def write_bytes(self, key, value):
        """Writes an entry as another writer would: the value need not be a document."""
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        event = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created,
                 "lease": 0}
        self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(self, target, writer):
        path, _, query = target.partition("?")
        if not path.endswith("kv-range") or self.mode != "ok":
            return await super()._answer(target, writer)
        parameters = {name: urllib.parse.unquote(value) for name, value in (part.split("=", 1) for part in query.split("&"))}
        found = [item for key, item in sorted(self.items.items())
                 if key.startswith(parameters["pathPrefix"]) and key > parameters.get("after", "")]
        page, size = [], 0
        for item in found[:self.PAGE_ITEMS]:
            if page and size + len(item["value"]) > self.PAGE_BYTES:
                break
            page.append(item)
            size += len(item["value"])
        body = {"items": page, "hasMore": len(page) < len(found), "currentRev": self.revision}
        writer.write(platform.response(200, {}, json.dumps(body).encode()))
        await writer.drain()


class Machine:
    """One machine of the class `front`: its settings and its process, started with the command of the deploy file."""

    def __init__(self, at, zone, seeds_of, store_port, ports, folder, deployment):
        self.ip, self.name, self.folder, self.zone = f"127.0.2.{at + 1}", f"front-{at + 1}", folder, zone
        self.port, ready, self.control, helper, metrics = ports
        self.ready = ready
        settings = {
            "vm": self.name, "zone": zone,
            "listen": {"callers": f"{self.ip}:{self.port}", "readiness": f"{self.ip}:{ready}",
                       "peers": f"{self.ip}:{self.control}", "helper_port": helper, "metrics": f"{self.ip}:{metrics}"},
            "store": {"address": f"127.0.3.1:{store_port}"}, "seeds": seeds_of, **deployment["machine"],
            "regions": deployment["zones"], "scheduling": {"priorities": False, "hedging": False},
            "limits": deployment["limits"]}
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings))
        self.process, self.starts = None, 0

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder), "LANG": "C",
                       "CHIVELOCK_NODE_FILE": str(self.settings)}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.starts += 1

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready), 0.5)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(platform.read_message(reader), 0.5)
            writer.close()
            return answer is not None and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def make_machines(count, store_port, folder, deployment=SMHESA):
    ports = [free_ports(f"127.0.2.{at + 1}", 5) for at in range(count)]
    # The port for links between machines has to be the same on all of them.
    helper = ports[0][3]
    for at in range(1, count):
        ports[at][3] = helper
    seeds = [f"127.0.2.{at + 1}:{ports[at][2]}" for at in range(min(3, count))]
    zones = list(deployment["zones"])
    return [Machine(at, zones[at % len(zones)], seeds, store_port, ports[at], folder, deployment) for at in range(count)]


async def wait_until_ready(machines, within_s=15):
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        if all([await one.is_ready() for one in machines]):
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(folder, play):
    """Runs `play(record, folder)`, which returns an exit code, within the time of a case."""
    record = Record(folder)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="case-"))

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(record, scratch), 110)

    try:
        code = asyncio.run(bounded())
    except Exception as problem:  # the case could not run
        record.line(f"could not run: {problem!r}; logs of the processes in the temporary folder")
        code = NOT_RUN
    if code != NOT_RUN:
        shutil.rmtree(scratch, ignore_errors=True)
    record.line({HELD: "held: the rule was kept", BROKEN: "broken: the rule was broken", NOT_RUN: "not run"}[code])
    return code
