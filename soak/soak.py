#!/usr/bin/env python3
"""Randomized soak test: real gateways, simulated leafs, callers and store over loopback, and random faults.

    soak/soak.py PROGRAM [--seeds 1-50] [--seconds 12]

Checks what callers and leafs observe, never what the gateways report about themselves. Exits with 1 if a guarantee was
violated, and prints the seed and the folder of the process logs. Signals go only to processes that this program started.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform" / "standin"))
import platform_standin as platform  # noqa: E402
from gateway_process import Gateway  # noqa: E402

HOST = "soak.example"
SHARDS, TOP_RECORDS, MIN_COVERAGE = 6, 10, 0.6
DRAIN_S, GRACE_S, MAX_ATTEMPTS = 3.0, 6.0, 2
APPLY_S = 3.0
BACK_AFTER_S = 2.5  # restart delay of a leaf that a request crashed
LAPSE_S = 3.6  # the store removes the entry of a leaf that has sent no heartbeat for this long
DISTURBED_DRAIN_S = 6.0  # drain limit for a VM that was disturbed recently; our own target, the users set none
KNOWN_AFTER_S = 0.5  # after the third leaf that a request crashed: time for a few messages between VMs
UNDISTURBED_S = 4.0  # a VM without faults for this long must keep the strict bounds on drains and queries of death
ZONE_DRAIN_S = 5.0  # from the store's update until no request may reach leafs of a drained zone
SLOW_CALLERS = 80
SMALL_VM = {"memory_mb": 32, "max_fds": 2000, "limits": {"connections": 16}}  # fewer than callers that connect
MOST_LATER_SENDS = 3  # of a request that has crashed three leafs, over all VMs


class Proxy:
    """A TCP proxy between one gateway and its store; `mode`: ok, slow, cut (forwards nothing) or reset."""

    def __init__(self, target):
        self.target, self.mode, self.writers = target, "ok", set()

    async def start(self, address, port):
        self.server = await asyncio.start_server(self._relay, address, port)

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _relay(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, store_writer}
        await asyncio.gather(self._pump(reader, store_writer), self._pump(store_reader, writer), return_exceptions=True)
        for stream in (writer, store_writer):
            self.writers.discard(stream)
            stream.close()

    async def _pump(self, source, sink):
        while data := await source.read(65536):
            if self.mode == "cut":
                await asyncio.sleep(3600)
            if self.mode == "slow":
                await asyncio.sleep(0.2)
            sink.write(data)
            await sink.drain()
        sink.close()


class Soak:
    vm_count, vm_settings = 4, None
    least_answered = 0.3  # share of all requests
    ends_after_s = (0.03, 0.05, 0.08, 0.16)  # until a crash; the last exceeds a shard request's time limit

    def __init__(self, program, seed, seconds, folder, zones=False, leaving=False, stutter=False,
                 slow=False):
        self.random = random.Random(seed)
        # Zone faults draw from a separate generator, so that they leave the other faults of a seed unchanged.
        self.with_stutter, self.stutter_random = stutter, random.Random(f"{seed}/stutter")
        self.with_slow, self.slow_random = slow, random.Random(f"{seed}/slow")
        self.with_zones, self.zone_random = zones, random.Random(f"{seed}/zones")
        self.vm_calm_since = {}  # request id -> last start or resume of its VM
        self.with_leaving, self.leaving_random = leaving, random.Random(f"{seed}/leaving")
        self.store_fault_at = float("-inf")  # last fault of the store or of a connection to it
        self.drained_zones = []  # (zone, start, end) of times when no request may reach its leafs
        self.seed, self.seconds, self.folder, self.program = seed, seconds, folder, program
        self.port = 10000 + (os.getpid() * 37 + seed * 101) % 20000  # below the ephemeral port range
        self.store, self.leafs, self.gone = platform.Store(), [], []
        self.attempts, self.problems, self.counts = {}, [], {"asked": 0, "ok": 0, "calm": 0, "calm_ok": 0}
        self.calm_outcomes = []  # (time of the request, whether it was answered with 200)
        self.version, self.published_shard_sets = 0, []
        self.running, self.injected, self.unanswered_at_stop = True, [], set()
        self.ended = []  # (time, path of the request that crashed it or "none", leaf)
        self.queries_of_death = {}  # path -> [(time, request id, whether its VM was undisturbed for UNDISTURBED_S)]

    def broken(self, promise, text):
        self.problems.append(f"seed {self.seed}: {promise}: {text}")

    async def add_leaf(self, service, zone):
        return await self.begin_leaf(platform.Leaf(service, zone, "127.0.2.9", 0))

    async def begin_leaf(self, leaf):
        leaf.ends_under, leaf.ended = lambda path: "ending" in path, self.on_ended
        leaf.ends_after = self.random.choice(self.ends_after_s)
        leaf.stutter_share, leaf.refused_share = (0.5, 0.2) if self.with_stutter else (0.0, 0.0)
        await leaf.start()
        self.leafs.append(leaf)
        self.store.write(f"servers/{leaf.id}", leaf.entry())
        return leaf

    def on_ended(self, leaf, path):
        if leaf in self.leafs:
            self.ended.append((time.monotonic(), path, leaf))
            self.leafs.remove(leaf)
            self.gone.append(leaf)
            asyncio.create_task(self.restart_leaf(leaf))

    async def restart_leaf(self, leaf):
        await asyncio.sleep(BACK_AFTER_S)
        self.store.write(f"servers/{leaf.id}", None)
        await self.begin_leaf(platform.Leaf(leaf.service, leaf.zone, leaf.address, leaf.port))

    def publish(self, shards):
        self.version += self.random.randint(1, 3)
        self.published_shard_sets.append(set(shards))
        self.store.write("op/config", platform.config(
            self.version, HOST, {"/all/": (shards, TOP_RECORDS, MIN_COVERAGE)},
            {"/one/": ("single", True), "/once/": ("single", False)}))

    async def prepare(self):
        store_port = self.port + 5
        await self.store.serve("127.0.2.9", store_port)
        self.shards = [f"s{n}" for n in range(SHARDS)]
        for shard in self.shards + ["single"]:
            for zone in ("z0", "z1"):
                await self.add_leaf(shard, zone)
        self.publish(self.shards)
        seeds = [f"127.0.2.{at + 1}:{self.port + 2}" for at in range(2)]
        self.proxies, self.vms = [], []
        for at in range(self.vm_count):
            proxy = Proxy(("127.0.2.9", store_port))
            await proxy.start(f"127.0.2.{at + 1}", store_port)
            self.proxies.append(proxy)
            limits = {"drain_ms": DRAIN_S * 1000, "grace_s": GRACE_S, "apply_ms": APPLY_S * 1000}
            more = SMALL_VM if self.with_slow else self.vm_settings
            self.vms.append(Gateway(self.program, self.folder, at, self.port, store_port, seeds, limits, more))
            await self.vms[-1].start()
        await asyncio.sleep(1.5)

    # ---- faults, each repaired after a random time

    async def faults(self):
        end = time.monotonic() + self.seconds
        kinds = [self.kill, self.freeze, self.stop, self.send_sighup, self.store_fault, self.leaf_fault, self.drain,
                 self.crash_leaf, self.send_query_of_death, self.reconfigure, self.reshard, self.proxy_fault, self.forget]
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            kind = self.random.choice(kinds)
            self.injected.append(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)
        for vm in self.vms:
            vm.send(signal.SIGCONT)

    # ---- faults of whole zones: drained and undrained, cold leafs, power loss

    async def zone_faults(self):
        end, tasks = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.zone_random.uniform(0.5, 2.5))
            kind = self.zone_random.choice([self.drain_zone, self.drain_zone, self.report_cold_leafs, self.lose_zone])
            self.injected.append(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    async def drain_zone(self):
        """Drains one zone at a time: with both drained no request could be answered."""
        if any(key.startswith("op/evacuate/z") for key in self.store.items):
            return
        zone = self.zone_random.choice(["z0", "z1"])
        stable = self.store_is_ok()
        self.store.write(f"op/evacuate/{zone}", self.zone_random.choice([True, None, "", [1], 7]) or "")
        self.store.write(f"op/evacuate/{self.zone_random.choice(['nowhere', '', 'z' * 180, 'z0/z1'])}", 1)
        began = time.monotonic()
        await asyncio.sleep(self.zone_random.uniform(4.0, 9.0))
        if stable:
            self.drained_zones.append((zone, began + ZONE_DRAIN_S, time.monotonic()))
        for key in [key for key in self.store.items if key.startswith("op/evacuate/")]:
            self.store.write(key, None)

    async def report_cold_leafs(self):
        """Running leafs of a zone report a cold cache for 1.5 s."""
        zone = self.zone_random.choice(["z0", "z1"])
        for leaf in [one for one in self.leafs if one.zone == zone]:
            self.store.write(f"servers/{leaf.id}", {**leaf.entry(), "coldRemainingMs": 1500, "sequence": 2})

    async def lose_zone(self):
        """Kills the leafs and VMs of a zone at the same time and restarts them."""
        zone = self.zone_random.randrange(2)
        for leaf in [one for one in self.leafs if one.zone == f"z{zone}" and not one.draining]:
            leaf.kill()
            self.on_ended(leaf, "none")
        lost = [vm for vm in self.vms if vm.at % 2 == zone and not vm.stopping and not vm.frozen]
        for vm in lost:
            await self.kill_vm(vm)
        await asyncio.sleep(self.zone_random.uniform(0.3, 1.5))
        for vm in lost:
            await vm.start()

    # ---- leafs that leave while no other leaf of their service answers, with late writes of their entries

    async def leaving_faults(self):
        end, tasks = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.leaving_random.uniform(0.5, 2.0))
            self.injected.append("leave")
            tasks.append(asyncio.create_task(self.leave()))
        await asyncio.gather(*tasks)

    async def leave(self):
        """The leaf serves for longer than it may be sent requests, while the other leafs of its service fail."""
        leaf = self.leaving_random.choice(self.leafs)
        others = [one for one in self.leafs if one.service == leaf.service and one is not leaf]
        if leaf.draining or not others or any(one.draining for one in others):
            return
        leaf.draining = True
        failure_mode = self.leaving_random.choice(["refuse", "silent", "break", "fail"])
        for other in others:
            other.mode = failure_mode
        state = self.leaving_random.choice(["draining", None])
        late_write_after_s = self.leaving_random.choice([0.05, 0.5, 1.5, 3.0, 5.0])
        stable = self.store_is_stable()
        self.write_state(leaf, state)
        leaf.left_at = time.monotonic() if stable else None
        await self.add_leaf(leaf.service, leaf.zone)
        if state is None and self.leaving_random.random() < 0.7:
            await asyncio.sleep(late_write_after_s)
            self.write_state(leaf, "ready")  # a delayed write that arrives after the removal
            await asyncio.sleep(LAPSE_S)
            self.write_state(leaf, None)
        await asyncio.sleep(DRAIN_S + 2)
        for other in others:
            other.mode = "ok"
        self.remove_leaf(leaf)

    def write_state(self, leaf, state):
        self.store.write(f"servers/{leaf.id}", None if state is None else {**leaf.entry(), "state": state})

    def store_is_ok(self):
        return self.store.mode == "ok" and all(proxy.mode == "ok" for proxy in self.proxies)

    def store_is_stable(self):
        """Whether the store and the connections to it had no fault for UNDISTURBED_S."""
        now = time.monotonic()
        if not self.store_is_ok():
            self.store_fault_at = now
        return now - self.store_fault_at > UNDISTURBED_S

    def send_limit_s(self, request_id, at):
        """How long after its leaving notice a leaf may get the request: longer from a recently started or paused VM."""
        undisturbed = at - self.vm_calm_since.get(request_id, at) > UNDISTURBED_S
        return DRAIN_S if undisturbed else DISTURBED_DRAIN_S

    def check_drained_zones(self):
        for zone, since, until in self.drained_zones:
            late = [(run[0], leaf.id) for leaf in self.leafs + self.gone if leaf.zone == zone
                    for run in leaf.runs if since < run[4] < until]
            if late:
                self.broken("emptied zone", f"{zone}: {len(late)} requests reached its leafs, first {late[:3]}")

    def pick_vm(self):
        idle = [vm for vm in self.vms if not vm.stopping and not vm.frozen]
        return self.random.choice(idle) if len(idle) > 1 else None

    async def kill(self):
        if vm := self.pick_vm():
            await self.kill_vm(vm)
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await vm.start()

    async def kill_vm(self, vm):
        vm.troubled_until, vm.stopping = time.monotonic() + 3, True
        vm.send(signal.SIGKILL)
        await vm.process.wait()

    async def freeze(self):
        if vm := self.pick_vm():
            await self.freeze_vm(vm, self.random.uniform(0.3, 2.0))

    async def freeze_vm(self, vm, pause):
        vm.troubled_until, vm.frozen = time.monotonic() + pause + 1.5, True
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(pause)
        vm.send(signal.SIGCONT)
        vm.frozen, vm.calm_since = False, time.monotonic()

    async def short_freezes(self):
        """Freezes VMs so briefly that the delegations between them are still open afterwards."""
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.stutter_random.uniform(0.1, 0.4))
            if vm := self.pick_vm():
                await self.freeze_vm(vm, self.stutter_random.uniform(0.05, 0.3))

    async def stop(self):
        if vm := self.pick_vm():
            vm.stopping, began = True, time.monotonic()
            vm.planned_since = began
            vm.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(vm.process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                self.broken("stop", f"vm-{vm.at} was still running {time.monotonic() - began:.1f} s after SIGTERM")
                vm.send(signal.SIGKILL)
                await vm.process.wait()
            await vm.start()

    async def send_sighup(self):
        if vm := self.pick_vm():
            vm.send(signal.SIGHUP)

    async def store_fault(self):
        self.store.mode = self.random.choice(["down", "silent"])
        await asyncio.sleep(self.random.uniform(0.5, 2.5))
        self.store.mode, self.store_fault_at = "ok", time.monotonic()

    async def proxy_fault(self):
        proxy = self.random.choice(self.proxies)
        proxy.mode = self.random.choice(["slow", "cut", "reset"])
        if proxy.mode == "reset":
            proxy.reset_all()
        await asyncio.sleep(self.random.uniform(0.5, 2.5))
        proxy.mode, self.store_fault_at = "ok", time.monotonic()
        proxy.reset_all()

    async def forget(self):
        self.store.forget()

    async def leaf_fault(self):
        leaf = self.random.choice(self.leafs)
        leaf.mode = self.random.choice(["silent", "refuse", "fail", "break", "stray"])
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        leaf.mode = "ok"

    def other_leafs(self, leaf):
        return [o for o in self.leafs if o.service == leaf.service and o is not leaf and not o.draining]

    async def drain(self):
        leaf = self.random.choice(self.leafs)
        if leaf.draining or not self.other_leafs(leaf):
            return
        leaf.draining = True
        self.store.write(f"servers/{leaf.id}", leaf.entry())
        stable = self.store_is_ok()
        leaf.stopped_at = time.monotonic() if stable else None
        await asyncio.sleep(DRAIN_S + 1.5)
        leaf.checked_until = time.monotonic()
        self.remove_leaf(leaf)
        await self.add_leaf(leaf.service, leaf.zone)

    async def crash_leaf(self):
        leaf = self.random.choice(self.leafs)
        if leaf.draining or not self.other_leafs(leaf):
            return
        leaf.draining = True
        self.remove_leaf(leaf)
        await asyncio.sleep(0.5)
        replacement = platform.Leaf(self.random.choice(["single", leaf.service]), leaf.zone, leaf.address, leaf.port)
        await self.begin_leaf(replacement)  # at the same address, possibly for another service
        if replacement.service != leaf.service:
            await self.add_leaf(leaf.service, leaf.zone)

    async def send_query_of_death(self):
        """Sends a query of death, which crashes each leaf that runs it, twelve times to random VMs."""
        path = f"{self.random.choice(['/all/', '/one/'])}ending{len(self.queries_of_death)}"
        self.queries_of_death[path] = []
        callers = [platform.Caller(f"127.0.3.{zone + 1}") for zone in range(2)]
        for number in range(12):
            vm, began = self.vms[self.random.randrange(self.vm_count)], time.monotonic()
            undisturbed = not vm.stopping and not vm.frozen and vm.troubled_until + UNDISTURBED_S < began
            request_id = f"e{self.seed}-{path}-{number}"
            self.queries_of_death[path].append((began, request_id, undisturbed))
            answer = await callers[vm.at % 2].ask(vm.ip, vm.port, "GET", path, request_id, 800, b"", HOST)
            self.attempts[request_id] = (path, answer)
            await asyncio.sleep(self.random.uniform(0.1, 0.8))

    def check_queries_of_death(self):
        for path, sent in self.queries_of_death.items():
            times = sorted(at for at, crashed_by, _ in self.ended if crashed_by == path)
            third = times[2] if len(times) > 2 else float("inf")
            reached = {run[0] for leaf in self.leafs + self.gone for run in leaf.runs if run[2] == path}
            later = [name for at, name, undisturbed in sent
                     if undisturbed and at > third + KNOWN_AFTER_S and name in reached]
            if len(later) > MOST_LATER_SENDS:
                self.broken("quarantine", f"{path} still reached leafs as {later}; {len(times)} crashed")

    def remove_leaf(self, leaf):
        leaf.kill()
        if leaf in self.leafs:
            self.leafs.remove(leaf)
        if leaf not in self.gone:  # a request may have crashed it already; its runs count once
            self.gone.append(leaf)
        self.store.write(f"servers/{leaf.id}", None)

    async def reconfigure(self):
        self.publish(self.shards)

    async def reshard(self):
        fresh = [f"s{self.version}x{n}" for n in range(self.random.randint(4, 8))]
        for shard in fresh:
            for zone in ("z0", "z1"):
                await self.add_leaf(shard, zone)
        await asyncio.sleep(0.5)
        self.shards = fresh
        self.publish(fresh)

    # ---- callers and leafs that read slowly or not at all

    async def slow_leafs(self):
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.slow_random.uniform(0.3, 1.0))
            leaf = self.slow_random.choice(self.leafs)
            if leaf.mode == "ok":
                leaf.mode = self.slow_random.choice(["unread", "read_slowly"])
                self.injected.append(leaf.mode)
                await asyncio.sleep(self.slow_random.uniform(0.3, 1.5))
                leaf.mode = "ok"

    async def slow_caller(self, number):
        """Sends requests on one connection and reads few answers or none."""
        source = random.Random(f"{self.seed}/slow/{number}")
        while self.running:
            vm = self.vms[source.randrange(self.vm_count)]
            try:
                reader, writer = await asyncio.open_connection(vm.ip, vm.port, limit=1024)
                writer.transport.pause_reading()
                for at in range(source.randrange(1, 30)):
                    if writer.transport.is_closing():
                        break
                    body = b"b" * source.choice([0, 0, 3000])
                    writer.write(f"POST /one/slow HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow{self.seed}-{number}-{at}\r\n"
                                 f"Deadline-Ms: 800\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                    await asyncio.sleep(source.uniform(0.0, 0.05))
                if source.random() < 0.5:
                    await asyncio.wait_for(reader.read(64), 0.3)
                await asyncio.sleep(source.uniform(0.0, 2.0))
                writer.transport.abort()
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)

    # ---- callers

    def ordinary_name(self, source):
        """Last part of the path of an ordinary request: the same each time, unless a subclass overrides it."""
        return "x"

    async def caller(self, number):
        source, connections = random.Random(f"{self.seed}/{number}"), platform.Caller()
        while self.running:
            vm = self.vms[source.randrange(self.vm_count)]
            path = source.choice(["/all/", "/all/", "/one/", "/once/"])
            self.counts["asked"] += 1
            request_id = f"q{self.seed}-{number}-{self.counts['asked']}"
            began = time.monotonic()
            calm = not vm.stopping and not vm.frozen and vm.troubled_until < began
            non_idempotent = path == "/once/"
            answer = await connections.ask(vm.ip, vm.port, "POST" if non_idempotent else "GET",
                                           path + self.ordinary_name(source), request_id, 800,
                                           b"entry" if non_idempotent else b"", HOST)
            if self.with_slow:  # VMs short of connections close idle ones, which may cross with a request
                connections.close()
            planned = vm.planned_since is not None and vm.planned_since <= time.monotonic()
            calm = calm and not vm.stopping and not vm.frozen
            self.attempts[request_id] = (path, answer)
            self.vm_calm_since[request_id] = vm.calm_since
            if answer is None and planned and vm.troubled_until < began:
                self.unanswered_at_stop.add(request_id)
            self.counts["calm"] += calm
            self.counts["calm_ok"] += calm and answer is not None
            if calm:
                self.calm_outcomes.append((began, answer is not None and answer[0] == 200))
            self.counts["ok"] += answer is not None and answer[0] == 200
            if calm and answer is None and vm.troubled_until < began:
                self.broken("one final answer", f"{request_id} at vm-{vm.at}, which no fault affected, got no answer")
            await asyncio.sleep(source.uniform(0.0, 0.06))

    # ---- guarantees

    def check(self):
        runs = {}
        for leaf in self.leafs + self.gone:
            for request_id, method, path, body, at in leaf.runs:
                runs.setdefault(request_id, []).append((leaf, at))
                if request_id not in self.attempts:
                    continue
                if not path.startswith(self.attempts[request_id][0]):
                    self.broken("unchanged", f"{request_id} reached a leaf as {path}")
                if leaf.stopped_at and at > leaf.stopped_at + DRAIN_S:
                    self.broken("draining", f"{request_id} ran on {leaf.id} {at - leaf.stopped_at:.2f} s after its notice")
                if leaf.left_at and at > leaf.left_at + self.send_limit_s(request_id, at):
                    self.broken("leaving", f"{request_id} ran on {leaf.id} {at - leaf.left_at:.2f} s after its notice")
        self.check_queries_of_death()
        self.check_drained_zones()
        for request_id, (path, answer) in self.attempts.items():
            self.check_one(request_id, path, answer, runs.get(request_id, []))

    def check_one(self, request_id, path, answer, runs):
        if path == "/once/" and len(runs) > 1:
            self.broken("at most once", f"{request_id} ran on {[leaf.id for leaf, _ in runs]}")
        by_service = {}
        for leaf, _ in runs:
            by_service.setdefault(leaf.service, set()).add(leaf.id)
        if any(len(ids) > MAX_ATTEMPTS for ids in by_service.values()):
            self.broken("attempts", f"{request_id} ran on {by_service}")
        if answer is None:
            if request_id in self.unanswered_at_stop and runs:
                self.broken("planned stop", f"{request_id} reached a leaf, and its connection closed without an answer")
            return
        if answer[0] in (408, 421, 429, 503) and runs:
            self.broken("not run", f"{request_id} got {answer[0]} although it ran on {[leaf.id for leaf, _ in runs]}")
        if answer[0] == 200 and path == "/all/":
            self.check_merged(request_id, answer, runs)
        elif answer[0] == 200:
            good = [platform.digest_of(leaf.id, request_id, leaf.records(request_id)) for leaf, _ in runs
                    if 200 in leaf.answered.get(request_id, ()) and answer[2] == leaf.records(request_id)]
            if answer[1].get("response-stamp") not in good:
                self.broken("own answer", f"{request_id} got an answer that no leaf which ran it has sent")

    def check_merged(self, request_id, answer, runs):
        digests, missing = platform.merged_answer(answer)
        known = {platform.digest_of(leaf.id, request_id, leaf.records(request_id)): leaf for leaf, _ in runs
                 if 200 in leaf.answered.get(request_id, ())}
        if len(set(digests)) != len(digests) or not set(digests) <= set(known):
            self.broken("parts", f"the answer to {request_id} lists parts that no leaf has sent: {digests}")
            return
        parts = [known[d] for d in digests]
        services = {leaf.service for leaf in parts}
        sets = [s for s in self.published_shard_sets if services <= s and len(services) + missing == len(s)]
        if len(services) != len(parts) or not sets:
            self.broken("one version", f"{request_id}: {sorted(services)} and {missing} missing match no published set")
        records = [leaf.records(request_id) for leaf in parts]
        pieces = [r[at:at + platform.RECORD] for r in records for at in range(0, len(r), platform.RECORD)]
        if b"".join(sorted(pieces, reverse=True)[:TOP_RECORDS]) != answer[2]:
            self.broken("greatest records", request_id)
        if len(parts) < MIN_COVERAGE * (len(parts) + missing):
            self.broken("coverage", f"{request_id}: {len(parts)} of {len(parts) + missing}")

    def extra_faults(self):
        """Faults that run beside those of `faults`. Subclasses override it."""
        extra_faults = [self.zone_faults()] if self.with_zones else []
        extra_faults += [self.leaving_faults()] if self.with_leaving else []
        extra_faults += [self.short_freezes()] if self.with_stutter else []
        extra_faults += [self.slow_leafs()] if self.with_slow else []
        return extra_faults

    async def run(self):
        await self.prepare()
        callers = [asyncio.create_task(self.caller(n)) for n in range(8)]
        callers += [asyncio.create_task(self.slow_caller(n)) for n in range(SLOW_CALLERS if self.with_slow else 0)]
        await asyncio.gather(self.faults(), *self.extra_faults())
        await asyncio.sleep(1.0)
        self.running = False
        await asyncio.gather(*callers)
        await self.end()
        return self

    async def end(self):
        """Checks the guarantees and ends the VMs."""
        self.check()
        for vm in self.vms:
            if vm.process.returncode not in (None, 0):
                self.broken("ends", f"vm-{vm.at} exited unexpectedly with {vm.process.returncode}")
            vm.send(signal.SIGKILL)
            await vm.process.wait()
        if self.counts["ok"] < self.counts["asked"] * self.least_answered:
            self.broken("service", f"only {self.counts['ok']} of {self.counts['asked']} requests were answered")

    def summary(self):
        return (f"{self.counts['ok']} of {self.counts['asked']} answered, {self.counts['calm_ok']} of "
                f"{self.counts['calm']} at calm VMs, {len(self.injected)} faults")


def seeds_from(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


async def played(soak):
    # Ignores the errors of simulated leafs and callers whose connections are closed at the end.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await soak.run()


def soak_of(options, seed, folder):
    if options.stopping:
        from stopping import StoppingSoak  # it extends this module
        return StoppingSoak(options.program, seed, options.seconds, folder)
    if options.foreign:
        from foreign import ForeignSoak  # it extends this module
        return ForeignSoak(options.program, seed, options.seconds, folder, options.masses)
    return Soak(options.program, seed, options.seconds, folder, options.zones, options.leaving, options.stutter,
                options.slow)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--zones", action="store_true", help="also inject faults of whole zones")
    parser.add_argument("--leaving", action="store_true", help="also remove leafs while the others of their service fail")
    parser.add_argument("--stutter", action="store_true", help="leafs answer twice and refuse often, VMs freeze briefly")
    parser.add_argument("--slow", action="store_true", help="some callers and leafs read slowly or not at all, VMs are small")
    parser.add_argument("--stopping", action="store_true", help="instead stop VMs while callers use idle connections again")
    parser.add_argument("--foreign", action="store_true", help="instead others write odd entries, and leafs answer oddly")
    parser.add_argument("--masses", action="store_true", help="with --foreign: also thousands of entries at once")
    options = parser.parse_args()
    failed = 0
    for seed in seeds_from(options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = asyncio.run(played(soak_of(options, seed, folder)))
        for problem in soak.problems[:10]:
            print(problem)
        failed += bool(soak.problems)
        logs = f" logs {folder}" if soak.problems else ""
        print(f"seed {seed}: {soak.summary()}, {len(soak.problems)} promises broken{logs}", flush=True)
    print(f"{len(seeds_from(options.seeds)) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
