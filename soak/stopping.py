"""The soak of planned stops: `soak/soak.py PROGRAM --stopping`.

Callers leave connections idle and use them again, leafs work for longer than a stop leaves, and VMs are stopped one after
the other and together, while they work for each other and while others are killed and frozen.
"""

import asyncio
import dataclasses
import random
import signal
import time

import platform_standin as platform
from soak import GRACE_S, HOST, MIN_COVERAGE, TOP_RECORDS, Soak

TIME_LIMIT_MS, TARGET_LATENCY_MS = 8000, 800
ANSWER_WAIT_S = 9.0  # beyond the time limit of a request
IDLE_LIMIT_MS = 20000  # longer than any caller leaves a connection idle
LOSS_SLACK_S = 0.2  # a connection that closes so soon after a request may have crossed with it
CONNECT_S = 1.0
SINGLE_LEAFS, SLOTS = 6, 1000
USUAL_WORK_MS, SLOW_WORK_MS, USUAL_PART_MS = 200, (1300, 2500), 20
SLOW_SHARES = (0.05, 0.3)  # of the requests of a seed
PROBE_INTERVAL_S, MISSES_BEFORE_REMOVAL = 1.0, 2
STARTED_S = 0.5  # a VM is disturbed or stopped so long after its start at the earliest
LOOKUPS_BEFORE_STOP = 24
LATE_S = 3.0  # after SIGTERM
SETTLE_S = 0.5  # from the last answer until no leaf may get a request any more


class StoppingLeaf(platform.Leaf):
    """A leaf that works for as long as the path says (/w200: 200 ms), and not before `hangs_until`."""

    def __init__(self, service, zone, address, port):
        super().__init__(service, zone, address, port, SLOTS)
        self.arrived, self.hangs_until = set(), 0.0
        self.work_of = self.remaining_work

    def remaining_work(self, path):
        return max(0.0, self.hangs_until - time.monotonic()) + int(path.rpartition("/w")[2]) / 1000

    async def _answer(self, message, writer):
        self.arrived.add(message[1].get("request-id"))
        return await super()._answer(message, writer)


@dataclasses.dataclass
class CallerKind:
    count: int
    pauses_s: tuple  # shortest and longest pause between two requests
    heeds_close: bool  # whether an answer with `Connection: close` is the last on its connection


CALLER_KINDS = [CallerKind(240, (1.0, 9.0), True), CallerKind(30, (0.0, 2.0), False), CallerKind(8, (0.0, 0.06), True)]


@dataclasses.dataclass
class Connection:
    vm: object
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclasses.dataclass
class Request:
    """One request of a caller. `last_byte_at` and `ended_at` are on the monotonic clock."""

    id: str
    vm: object
    last_byte_at: float
    ended_at: float
    is_answered: bool


@dataclasses.dataclass
class Span:
    """The time of a planned stop, kill or freeze of a VM."""

    vm: object
    began: float
    ended: float

    def overlaps(self, request):
        return self.vm is request.vm and self.began <= request.ended_at and request.last_byte_at <= self.ended


class StoppingSoak(Soak):
    vm_count, vm_settings = 6, {"log_lines_per_s": 10000}

    def __init__(self, program, seed, seconds, folder):
        super().__init__(program, seed, seconds, folder)
        self.slow_share = self.random.choice(SLOW_SHARES)
        self.with_probes = seed % 2 == 1
        self.over, self.rotated_out, self.requests = asyncio.Event(), set(), []
        self.stops, self.disturbances = [], []
        self.longest_standstill_s = 0.0  # of this program: times that it measures are late by so much at most

    # ---- leafs and configurations

    async def add_leaf(self, service, zone):
        """Both leafs of a shard are in one zone, so that VMs of the other one ask VMs there to work for them."""
        placed = zone if service == "single" else f"z{int(service[-1]) % 2}"
        return await self.begin_leaf(StoppingLeaf(service, placed, "127.0.2.9", 0))

    def publish(self, shards):
        self.version += self.random.randint(1, 3)
        self.published_shard_sets.append(set(shards))
        document = platform.config(self.version, HOST, {"/all/": (shards, TOP_RECORDS, MIN_COVERAGE)},
                                   {"/one/": ("single", True), "/once/": ("single", False)}, IDLE_LIMIT_MS, IDLE_LIMIT_MS)
        for route in document["routes"]:
            route["timeoutMs"], route["targetLatencyMs"] = TIME_LIMIT_MS, TARGET_LATENCY_MS
        self.store.write("op/config", document)

    async def prepare(self):
        for at in range(SINGLE_LEAFS):
            await self.add_leaf("single", f"z{at % 2}")
        await super().prepare()

    async def trouble_leafs(self):
        """Lets some leafs of a service hang, never answer, refuse or fail for some seconds."""
        service = self.random.choice(self.shards + ["single"] * len(self.shards))
        leafs = [leaf for leaf in self.leafs if leaf.service == service and leaf.mode == "ok"]
        troubled = self.random.sample(leafs, self.random.randint(0, len(leafs)))
        mode = self.random.choice(["hang", "hang", "silent", "refuse", "fail", "break"])
        duration_s = self.random.uniform(1.0, 5.0)
        for leaf in troubled:
            leaf.mode = "ok" if mode == "hang" else mode
            leaf.hangs_until = time.monotonic() + duration_s if mode == "hang" else 0.0
        await asyncio.sleep(duration_s)
        for leaf in troubled:
            leaf.mode = "ok"

    # ---- stops, kills and freezes

    async def faults(self):
        kinds = [self.stop_some, self.stop_some, self.stop_some, self.kill, self.freeze, self.trouble_leafs,
                 self.trouble_leafs, self.trouble_leafs, self.reconfigure, self.reshard]
        end, tasks = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            self.injected.append(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
        await asyncio.gather(*tasks)

    def started_vms(self):
        now = time.monotonic()
        return [vm for vm in self.vms if not vm.stopping and not vm.frozen and now - vm.calm_since > STARTED_S]

    def pick_vm(self):
        started = self.started_vms()
        return self.random.choice(started) if len(started) > 1 else None

    async def kill_vm(self, vm):
        began = time.monotonic()
        await super().kill_vm(vm)
        self.disturbances.append(Span(vm, began, time.monotonic()))

    async def freeze_vm(self, vm, pause):
        began = time.monotonic()
        await super().freeze_vm(vm, pause)
        self.disturbances.append(Span(vm, began, time.monotonic()))

    async def stop_some(self):
        """Stops up to half of all VMs, one after the other or at once, while they work for the others."""
        started = self.started_vms()
        most = min(self.vm_count // 2 - sum(vm.stopping for vm in self.vms), len(started) - 1)
        if most < 1:
            return
        chosen = self.random.sample(started, self.random.choice([1, most]))
        gap_s = self.random.choice([0.0, 0.0, 0.3, 1.0])
        staying = [vm for vm in started if vm not in chosen]
        for vm in chosen:
            vm.stopping = True
        lookups = [asyncio.create_task(self.look_up_slowly(self.random.choice(staying), number))
                   for number in range(LOOKUPS_BEFORE_STOP)]
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        await asyncio.gather(*lookups, *[self.stop_vm(vm, gap_s * at) for at, vm in enumerate(chosen)])

    async def stop_vm(self, vm, delay_s):
        await asyncio.sleep(delay_s)
        began, process = time.monotonic(), vm.process
        vm.planned_since = began
        vm.send(signal.SIGTERM)
        for number in self.random.sample([signal.SIGTERM, signal.SIGHUP, signal.SIGHUP], self.random.randint(0, 2)):
            asyncio.create_task(self.signal_later(vm, process, number))
        if self.random.random() < 0.5:
            asyncio.create_task(self.reconfigure_later())
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.broken("stop", f"vm-{vm.at} was still running {time.monotonic() - began:.1f} s after SIGTERM")
            vm.send(signal.SIGKILL)
            await process.wait()
        if process.returncode not in (0, -signal.SIGKILL):
            self.broken("ends", f"vm-{vm.at} ended its stop with {process.returncode}")
        self.stops.append(Span(vm, began, time.monotonic()))
        await asyncio.sleep(self.random.choice([0.0, 0.0, 1.0]))
        await vm.start()

    async def signal_later(self, vm, process, number):
        await asyncio.sleep(self.random.uniform(0.0, 5.0))
        if vm.process is process:
            vm.send(number)

    async def reconfigure_later(self):
        await asyncio.sleep(self.random.uniform(0.0, 5.0))
        self.publish(self.shards)

    # ---- callers, and the platform that assigns them to VMs

    async def probe_readiness(self, vm):
        misses, prober = 0, platform.Caller()
        while not self.over.is_set():
            answer = await prober.ask(vm.ip, vm.port + 1, "GET", "/v1/ready", "probe", 1000, timeout=CONNECT_S)
            misses = 0 if answer is not None and answer[0] == 200 else misses + 1
            if misses >= MISSES_BEFORE_REMOVAL:
                self.rotated_out.add(vm)
            elif misses == 0:
                self.rotated_out.discard(vm)
            await self.pause(PROBE_INTERVAL_S)

    def vms_in_rotation(self):
        remaining = [vm for vm in self.vms if vm not in self.rotated_out]
        return remaining if len(remaining) * 2 >= len(self.vms) else self.vms

    async def pause(self, duration_s):
        try:
            await asyncio.wait_for(self.over.wait(), duration_s)
        except asyncio.TimeoutError:
            pass

    async def connect(self, vm):
        try:
            return Connection(vm, *await asyncio.wait_for(asyncio.open_connection(vm.ip, vm.port), CONNECT_S))
        except (OSError, asyncio.TimeoutError):
            return None

    async def caller_of(self, kind, name):
        source, connection = random.Random(f"{self.seed}/{name}"), None
        await self.pause(source.uniform(0.0, kind.pauses_s[1]))
        while not self.over.is_set():
            if connection is None or connection.reader.at_eof():
                connection = await self.connect(source.choice(self.vms_in_rotation()))
            if connection is not None:
                answer = await self.ask(connection, *self.draw_request(source), name)
                if answer is None or (kind.heeds_close and answer[1].get("connection", "") == "close"):
                    connection.writer.close()
                    connection = None
            await self.pause(source.uniform(*kind.pauses_s))

    def draw_request(self, source):
        """Returns the route's path and the work in milliseconds."""
        path = source.choice(["/all/", "/one/", "/one/", "/once/"])
        if source.random() < self.slow_share:
            return path, source.choice(SLOW_WORK_MS)
        return path, USUAL_PART_MS if path == "/all/" else USUAL_WORK_MS

    async def look_up_slowly(self, vm, number):
        """Looks up all shards, whose leafs work for long, so that VMs that work for this one do so when they stop."""
        connection = await self.connect(vm)
        if connection is not None:
            await self.ask(connection, "/all/", SLOW_WORK_MS[number % 2], f"before-stop-{number}")
            connection.writer.close()

    async def ask(self, connection, path, work_ms, name):
        """Sends a request and records what became of it. Returns the answer, or None without a complete one."""
        self.counts["asked"] += 1
        request_id = f"q{self.seed}-{name}-{self.counts['asked']}"
        method, body = ("POST", b"entry") if path == "/once/" else ("GET", b"")
        connection.writer.write(
            f"{method} {path}w{work_ms} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        last_byte_at = time.monotonic()
        try:
            message = await asyncio.wait_for(platform.read_message(connection.reader), ANSWER_WAIT_S)
        except asyncio.TimeoutError:
            message = None
        answer = None if message is None else (int(message[0].split(" ")[1]), message[1], message[2])
        self.requests.append(Request(request_id, connection.vm, last_byte_at, time.monotonic(), answer is not None))
        self.attempts[request_id] = (path, answer)
        self.counts["ok"] += answer is not None and answer[0] == 200
        return answer

    async def watch_standstill(self):
        while not self.over.is_set():
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.longest_standstill_s = max(self.longest_standstill_s, time.monotonic() - began - 0.01)

    # ---- guarantees

    def check(self):
        super().check()
        arrived = set().union(*(leaf.arrived for leaf in self.leafs + self.gone))
        for request in self.requests:
            if not request.is_answered and not any(span.overlaps(request) for span in self.disturbances):
                self.check_unanswered(request, request.id in arrived)
        if not any(self.stop_of(request) and request.id in arrived for request in self.requests):
            self.broken("reach", "no request that was sent in a stop reached a leaf")

    def check_unanswered(self, request, reached_leaf):
        lasted_s = request.ended_at - request.last_byte_at
        if reached_leaf or lasted_s > LOSS_SLACK_S:
            self.broken("complete answer", f"{request.id} {'reached a leaf and' if reached_leaf else 'was not passed on,'} "
                        f"ended without an answer after {lasted_s:.3f} s at vm-{request.vm.at}{self.near_stop(request)}; "
                        f"this program stood still for {self.longest_standstill_s:.3f} s at most")

    def stop_of(self, request):
        return next((stop for stop in self.stops if stop.overlaps(request)), None)

    def near_stop(self, request):
        stop = self.stop_of(request)
        return "" if stop is None else (f", sent {request.last_byte_at - stop.began:.3f} s after SIGTERM, "
                                        f"ended {request.ended_at - stop.began:.3f} s after it")

    def is_late(self, request):
        stop = self.stop_of(request)
        return stop is not None and request.last_byte_at - stop.began > LATE_S

    async def run(self):
        await self.prepare()
        callers = [asyncio.create_task(self.caller_of(kind, f"{which}-{number}"))
                   for which, kind in enumerate(CALLER_KINDS) for number in range(kind.count)]
        callers += [asyncio.create_task(self.probe_readiness(vm)) for vm in self.vms if self.with_probes]
        callers.append(asyncio.create_task(self.watch_standstill()))
        await self.faults()
        self.over.set()
        await asyncio.gather(*callers)
        await asyncio.sleep(SETTLE_S)
        await self.end()
        return self

    def summary(self):
        in_stops = [request for request in self.requests if self.stop_of(request)]
        late = [request for request in in_stops if self.is_late(request)]
        return (f"{self.counts['ok']} of {self.counts['asked']} answered with success, {len(self.stops)} stops "
                f"{'with' if self.with_probes else 'without'} readiness probes, {len(in_stops)} requests in them, "
                f"{len(late)} sent after {LATE_S:.0f} s, {len(self.disturbances)} kills and freezes")
