#!/usr/bin/env python3
"""Randomized soak: real gateway processes among stand-ins over loopback, with faults from outside.

    soak/soak.py PROGRAM [--seeds 1-50] [--seconds 12]

Checks what callers and leafs see, never what the product says of itself. Exit code 1 if a promise broke; the seed and
the processes' logs are named. Signals go only to processes that this program started.
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
SHARDS, VMS, TOP, LEAST = 6, 4, 10, 0.6
DRAIN_S, GRACE_S, MAX_ATTEMPTS = 3.0, 6.0, 2
APPLY_S = 3.0
BACK_AFTER_S = 2.5  # a leaf that ended under a request
LAPSE_S = 3.6  # without a leaf's word, and the store removes its entry
NOT_IN_TOUCH_DRAIN_S = 6.0  # our aim, the users set none
KNOWN_AFTER_S = 0.5  # from the third leaf that ended under a request: some messages between VMs
IN_TOUCH_S = 4.0  # a VM that nothing troubled for so long is held to the bound on such requests
EMPTY_S = 5.0  # from the store's word until nothing is sent to leafs of an emptied zone
MOST_LATER_SENDS = 3  # of a request under which three leafs ended, all VMs together


class Proxy:
    """A relay in front of one gateway's store: `mode` ok, slow, cut (silent both ways) or reset."""

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
            there, out = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, out}
        await asyncio.gather(self._pump(reader, out), self._pump(there, writer), return_exceptions=True)
        for one in (writer, out):
            self.writers.discard(one)
            one.close()

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
    least_answered = 0.3  # of all that is asked
    ends_after_s = (0.03, 0.05, 0.08, 0.16)  # of leafs under a request; the last one is more than a part is given

    def __init__(self, program, seed, seconds, folder, zones=False, leaving=False):
        self.random = random.Random(seed)
        self.with_zones, self.zone_random = zones, random.Random(f"{seed}/zones")  # apart: seeds play as without them
        self.calm_since = {}  # request id -> since when its VM had not been disturbed as it was asked
        self.with_leaving, self.leaving_random = leaving, random.Random(f"{seed}/leaving")
        self.store_troubled_at = float("-inf")  # when the store or the way to it was last in trouble
        self.emptied = []  # (zone, from when on nothing may arrive, until when)
        self.seed, self.seconds, self.folder, self.program = seed, seconds, folder, program
        self.port = 10000 + (os.getpid() * 37 + seed * 101) % 20000  # below the system's own choice of ports
        self.store, self.leafs, self.gone = platform.Store(), [], []
        self.attempts, self.problems, self.counts = {}, [], {"asked": 0, "ok": 0, "calm": 0, "calm_ok": 0}
        self.calm_outcomes = []  # (asked at, served)
        self.version, self.sets = 0, []
        self.running, self.played, self.cut_by_stop = True, [], set()
        self.ended = []  # (at, path, leaf): leafs that ended under a request
        self.ending = {}  # path -> [(at, request id, whether its VM had been calm for as long as counts)]

    def broken(self, promise, text):
        self.problems.append(f"seed {self.seed}: {promise}: {text}")

    async def add_leaf(self, service, zone):
        return await self.begin_leaf(platform.Leaf(service, zone, "127.0.2.9", 0))

    async def begin_leaf(self, leaf):
        leaf.ends_under, leaf.ended = lambda path: "ending" in path, self.on_ended
        leaf.ends_after = self.random.choice(self.ends_after_s)
        await leaf.start()
        self.leafs.append(leaf)
        self.store.write(f"servers/{leaf.id}", leaf.entry())
        return leaf

    def on_ended(self, leaf, path):
        if leaf in self.leafs:
            self.ended.append((time.monotonic(), path, leaf))
            self.leafs.remove(leaf)
            self.gone.append(leaf)
            asyncio.create_task(self.bring_back(leaf))

    async def bring_back(self, leaf):
        await asyncio.sleep(BACK_AFTER_S)
        self.store.write(f"servers/{leaf.id}", None)
        await self.begin_leaf(platform.Leaf(leaf.service, leaf.zone, leaf.address, leaf.port))

    def publish(self, shards):
        self.version += self.random.randint(1, 3)
        self.sets.append(set(shards))
        self.store.write("op/config", platform.config(
            self.version, HOST, {"/all/": (shards, TOP, LEAST)}, {"/one/": ("single", True), "/once/": ("single", False)}))

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
        for at in range(VMS):
            proxy = Proxy(("127.0.2.9", store_port))
            await proxy.start(f"127.0.2.{at + 1}", store_port)
            self.proxies.append(proxy)
            limits = {"drain_ms": DRAIN_S * 1000, "grace_s": GRACE_S, "apply_ms": APPLY_S * 1000}
            self.vms.append(Gateway(self.program, self.folder, at, self.port, store_port, seeds, limits))
            await self.vms[-1].start()
        await asyncio.sleep(1.5)

    # ---- faults, each undone after a while

    async def faults(self):
        end = time.monotonic() + self.seconds
        kinds = [self.kill, self.freeze, self.stop, self.hang_up, self.store_fault, self.leaf_fault, self.drain,
                 self.crash_leaf, self.end_leafs, self.reconfigure, self.reshard, self.proxy_fault, self.forget]
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            kind = self.random.choice(kinds)
            self.played.append(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)
        for vm in self.vms:
            vm.send(signal.SIGCONT)

    # ---- faults of whole zones: emptied and given back, leafs cold again, lost power

    async def zone_faults(self):
        end, tasks = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.zone_random.uniform(0.5, 2.5))
            kind = self.zone_random.choice([self.empty_zone, self.empty_zone, self.turn_cold, self.lose_zone])
            self.played.append(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    async def empty_zone(self):
        """One at a time: with both emptied there is nothing that could be answered."""
        if any(key.startswith("op/evacuate/z") for key in self.store.items):
            return
        zone = self.zone_random.choice(["z0", "z1"])
        stable = self.store_is_ok()
        self.store.write(f"op/evacuate/{zone}", self.zone_random.choice([True, None, "", [1], 7]) or "")
        self.store.write(f"op/evacuate/{self.zone_random.choice(['nowhere', '', 'z' * 180, 'z0/z1'])}", 1)
        began = time.monotonic()
        await asyncio.sleep(self.zone_random.uniform(4.0, 9.0))
        if stable:
            self.emptied.append((zone, began + EMPTY_S, time.monotonic()))
        for key in [one for one in self.store.items if one.startswith("op/evacuate/")]:
            self.store.write(key, None)

    async def turn_cold(self):
        """Leafs that run all the while say that they are slow for some time."""
        zone = self.zone_random.choice(["z0", "z1"])
        for leaf in [one for one in self.leafs if one.zone == zone]:
            self.store.write(f"servers/{leaf.id}", {**leaf.entry(), "coldRemainingMs": 1500, "sequence": 2})

    async def lose_zone(self):
        """Leafs and VMs of a zone are gone at one moment and come back."""
        zone = self.zone_random.randrange(2)
        for leaf in [one for one in self.leafs if one.zone == f"z{zone}" and not one.draining]:
            leaf.kill()
            self.on_ended(leaf, "none")
        lost = [vm for vm in self.vms if vm.at % 2 == zone and not vm.stopping and not vm.frozen]
        for vm in lost:
            vm.troubled_until, vm.stopping = time.monotonic() + 3, True
            vm.send(signal.SIGKILL)
            await vm.process.wait()
        await asyncio.sleep(self.zone_random.uniform(0.3, 1.5))
        for vm in lost:
            await vm.start()

    # ---- leafs that leave where no other answers, with late writes of their entries

    async def leaving_faults(self):
        end, tasks = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.leaving_random.uniform(0.5, 2.0))
            self.played.append("leave")
            tasks.append(asyncio.create_task(self.leave()))
        await asyncio.gather(*tasks)

    async def leave(self):
        """The leaf serves on for longer than it may be asked, while the others of its service are no use."""
        leaf = self.leaving_random.choice(self.leafs)
        others = [one for one in self.leafs if one.service == leaf.service and one is not leaf]
        if leaf.draining or not others or any(one.draining for one in others):
            return
        leaf.draining = True
        bad = self.leaving_random.choice(["refuse", "silent", "break", "fail"])
        for other in others:
            other.mode = bad
        word = self.leaving_random.choice(["draining", None])
        back = self.leaving_random.choice([0.05, 0.5, 1.5, 3.0, 5.0])
        stable = self.store_is_stable()
        self.write_state(leaf, word)
        leaf.left_at = time.monotonic() if stable else None
        await self.add_leaf(leaf.service, leaf.zone)
        if word is None and self.leaving_random.random() < 0.7:
            await asyncio.sleep(back)
            self.write_state(leaf, "ready")  # a write that was long on its way
            await asyncio.sleep(LAPSE_S)
            self.write_state(leaf, None)
        await asyncio.sleep(DRAIN_S + 2)
        for other in others:
            other.mode = "ok"
        self.retire(leaf)

    def write_state(self, leaf, state):
        self.store.write(f"servers/{leaf.id}", None if state is None else {**leaf.entry(), "state": state})

    def store_is_ok(self):
        return self.store.mode == "ok" and all(proxy.mode == "ok" for proxy in self.proxies)

    def store_is_stable(self):
        """Nothing troubled the store, or a VM's way to it, for as long as counts."""
        now = time.monotonic()
        if not self.store_is_ok():
            self.store_troubled_at = now
        return now - self.store_troubled_at > IN_TOUCH_S

    def may_be_asked_for(self, request_id, at):
        """How long after its word a leaf may run the request: a VM that was started, or stood still, is held to more."""
        in_touch = at - self.calm_since.get(request_id, at) > IN_TOUCH_S
        return DRAIN_S if in_touch else NOT_IN_TOUCH_DRAIN_S

    def check_emptied(self):
        for zone, since, until in self.emptied:
            late = [(run[0], leaf.id) for leaf in self.leafs + self.gone if leaf.zone == zone
                    for run in leaf.runs if since < run[4] < until]
            if late:
                self.broken("emptied zone", f"{zone}: {len(late)} requests reached leafs, first {late[:3]}")

    def pick_vm(self):
        idle = [vm for vm in self.vms if not vm.stopping and not vm.frozen]
        return self.random.choice(idle) if len(idle) > 1 else None

    async def kill(self):
        if vm := self.pick_vm():
            vm.troubled_until = time.monotonic() + 3
            vm.stopping = True
            vm.send(signal.SIGKILL)
            await vm.process.wait()
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await vm.start()

    async def freeze(self):
        if vm := self.pick_vm():
            pause = self.random.uniform(0.3, 2.0)
            vm.troubled_until, vm.frozen = time.monotonic() + pause + 1.5, True
            vm.send(signal.SIGSTOP)
            await asyncio.sleep(pause)
            vm.send(signal.SIGCONT)
            vm.frozen, vm.calm_since = False, time.monotonic()

    async def stop(self):
        if vm := self.pick_vm():
            vm.stopping, began = True, time.monotonic()
            vm.planned_since = began
            vm.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(vm.process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                self.broken("stop", f"vm-{vm.at} still ran {time.monotonic() - began:.1f} s after SIGTERM")
                vm.send(signal.SIGKILL)
                await vm.process.wait()
            await vm.start()

    async def hang_up(self):
        if vm := self.pick_vm():
            vm.send(signal.SIGHUP)

    async def store_fault(self):
        self.store.mode = self.random.choice(["down", "silent"])
        await asyncio.sleep(self.random.uniform(0.5, 2.5))
        self.store.mode, self.store_troubled_at = "ok", time.monotonic()

    async def proxy_fault(self):
        proxy = self.random.choice(self.proxies)
        proxy.mode = self.random.choice(["slow", "cut", "reset"])
        if proxy.mode == "reset":
            proxy.reset_all()
        await asyncio.sleep(self.random.uniform(0.5, 2.5))
        proxy.mode, self.store_troubled_at = "ok", time.monotonic()
        proxy.reset_all()

    async def forget(self):
        self.store.forget()

    async def leaf_fault(self):
        leaf = self.random.choice(self.leafs)
        leaf.mode = self.random.choice(["silent", "refuse", "fail", "break", "stray"])
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        leaf.mode = "ok"

    def others(self, leaf):
        return [o for o in self.leafs if o.service == leaf.service and o is not leaf and not o.draining]

    async def drain(self):
        leaf = self.random.choice(self.leafs)
        if leaf.draining or not self.others(leaf):
            return
        leaf.draining = True
        self.store.write(f"servers/{leaf.id}", leaf.entry())
        stable = self.store_is_ok()
        leaf.stopped_at = time.monotonic() if stable else None
        await asyncio.sleep(DRAIN_S + 1.5)
        leaf.checked_until = time.monotonic()
        self.retire(leaf)
        await self.add_leaf(leaf.service, leaf.zone)

    async def crash_leaf(self):
        leaf = self.random.choice(self.leafs)
        if leaf.draining or not self.others(leaf):
            return
        leaf.draining = True
        self.retire(leaf)
        await asyncio.sleep(0.5)
        replacement = platform.Leaf(self.random.choice(["single", leaf.service]), leaf.zone, leaf.address, leaf.port)
        await self.begin_leaf(replacement)  # at the same address, perhaps of another service
        if replacement.service != leaf.service:
            await self.add_leaf(leaf.service, leaf.zone)

    async def end_leafs(self):
        """A request that ends each leaf that runs it comes again and again, at any VM."""
        path = f"{self.random.choice(['/all/', '/one/'])}ending{len(self.ending)}"
        self.ending[path] = []
        ways = [platform.Caller(f"127.0.3.{zone + 1}") for zone in range(2)]
        for number in range(12):
            vm, began = self.vms[self.random.randrange(VMS)], time.monotonic()
            in_touch = not vm.stopping and not vm.frozen and vm.troubled_until + IN_TOUCH_S < began
            request_id = f"e{self.seed}-{path}-{number}"
            self.ending[path].append((began, request_id, in_touch))
            answer = await ways[vm.at % 2].ask(vm.ip, vm.port, "GET", path, request_id, 800, b"", HOST)
            self.attempts[request_id] = (path, answer)
            await asyncio.sleep(self.random.uniform(0.1, 0.8))

    def check_ending(self):
        for path, asked in self.ending.items():
            times = sorted(at for at, ended_under, _ in self.ended if ended_under == path)
            third = times[2] if len(times) > 2 else float("inf")
            reached = {run[0] for leaf in self.leafs + self.gone for run in leaf.runs if run[2] == path}
            later = [name for at, name, in_touch in asked if in_touch and at > third + KNOWN_AFTER_S and name in reached]
            if len(later) > MOST_LATER_SENDS:
                self.broken("quarantine", f"{path} reached leafs in {later}, {len(times)} ended")

    def retire(self, leaf):
        leaf.kill()
        if leaf in self.leafs:
            self.leafs.remove(leaf)
        if leaf not in self.gone:  # it may have ended under a request meanwhile; its runs count once
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

    # ---- callers

    def ordinary_name(self, source):
        """What an ordinary request asks for: the same each time."""
        return "x"

    async def caller(self, number):
        source, connections = random.Random(f"{self.seed}/{number}"), platform.Caller()
        while self.running:
            vm = self.vms[source.randrange(VMS)]
            path = source.choice(["/all/", "/all/", "/one/", "/once/"])
            self.counts["asked"] += 1
            request_id = f"q{self.seed}-{number}-{self.counts['asked']}"
            began = time.monotonic()
            calm = not vm.stopping and not vm.frozen and vm.troubled_until < began
            once = path == "/once/"
            answer = await connections.ask(vm.ip, vm.port, "POST" if once else "GET", path + self.ordinary_name(source),
                                           request_id, 800, b"entry" if once else b"", HOST)
            planned = vm.planned_since is not None and vm.planned_since <= time.monotonic()
            calm = calm and not vm.stopping and not vm.frozen
            self.attempts[request_id] = (path, answer)
            self.calm_since[request_id] = vm.calm_since
            if answer is None and planned and vm.troubled_until < began:
                self.cut_by_stop.add(request_id)
            self.counts["calm"] += calm
            self.counts["calm_ok"] += calm and answer is not None
            if calm:
                self.calm_outcomes.append((began, answer is not None and answer[0] == 200))
            self.counts["ok"] += answer is not None and answer[0] == 200
            if calm and answer is None and vm.troubled_until < began:
                self.broken("one final answer", f"{request_id} at vm-{vm.at}, which nothing troubled, got none")
            await asyncio.sleep(source.uniform(0.0, 0.06))

    # ---- promises

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
                    self.broken("draining", f"{request_id} ran on {leaf.id} {at - leaf.stopped_at:.2f} s after its word")
                if leaf.left_at and at > leaf.left_at + self.may_be_asked_for(request_id, at):
                    self.broken("leaving", f"{request_id} ran on {leaf.id} {at - leaf.left_at:.2f} s after its word")
        self.check_ending()
        self.check_emptied()
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
            if request_id in self.cut_by_stop and runs:
                self.broken("planned stop", f"{request_id} was passed on and its connection ended without an answer")
            return
        if answer[0] in (408, 421, 429, 503) and runs:
            self.broken("not run", f"{request_id} got {answer[0]} and ran on {[leaf.id for leaf, _ in runs]}")
        if answer[0] == 200 and path == "/all/":
            self.check_merged(request_id, answer, runs)
        elif answer[0] == 200:
            good = [platform.digest_of(leaf.id, request_id, leaf.records(request_id)) for leaf, _ in runs
                    if leaf.answered.get(request_id) == 200 and answer[2] == leaf.records(request_id)]
            if answer[1].get("response-stamp") not in good:
                self.broken("own answer", f"{request_id} got bytes of no leaf that ran it")

    def check_merged(self, request_id, answer, runs):
        digests, missing = platform.merged_answer(answer)
        known = {platform.digest_of(leaf.id, request_id, leaf.records(request_id)): leaf for leaf, _ in runs
                 if leaf.answered.get(request_id) == 200}
        if len(set(digests)) != len(digests) or not set(digests) <= set(known):
            self.broken("parts", f"{request_id} names parts that no leaf gave: {digests}")
            return
        parts = [known[d] for d in digests]
        services = {leaf.service for leaf in parts}
        sets = [s for s in self.sets if services <= s and len(services) + missing == len(s)]
        if len(services) != len(parts) or not sets:
            self.broken("one version", f"{request_id}: {sorted(services)} and {missing} missing are no published set")
        records = [leaf.records(request_id) for leaf in parts]
        pieces = [r[at:at + platform.RECORD] for r in records for at in range(0, len(r), platform.RECORD)]
        if b"".join(sorted(pieces, reverse=True)[:TOP]) != answer[2]:
            self.broken("greatest records", request_id)
        if len(parts) < LEAST * (len(parts) + missing):
            self.broken("coverage", f"{request_id}: {len(parts)} of {len(parts) + missing}")

    async def run(self):
        await self.prepare()
        callers = [asyncio.create_task(self.caller(n)) for n in range(8)]
        besides = [self.zone_faults()] if self.with_zones else []
        besides += [self.leaving_faults()] if self.with_leaving else []
        await asyncio.gather(self.faults(), *besides)
        await asyncio.sleep(1.0)
        self.running = False
        await asyncio.gather(*callers)
        self.check()
        for vm in self.vms:
            if vm.process.returncode not in (None, 0):
                self.broken("ends", f"vm-{vm.at} ended by itself with {vm.process.returncode}")
            vm.send(signal.SIGKILL)
            await vm.process.wait()
        if self.counts["ok"] < self.counts["asked"] * self.least_answered:
            self.broken("service", f"only {self.counts['ok']} of {self.counts['asked']} answered")
        return self


def seeds_from(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


async def played(soak):
    # Connections of the stand-ins that are cut at the end are no finding.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await soak.run()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--zones", action="store_true", help="also faults of whole zones")
    parser.add_argument("--leaving", action="store_true", help="also leafs that leave where no other answers")
    options = parser.parse_args()
    failed = 0
    for seed in seeds_from(options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = asyncio.run(played(Soak(options.program, seed, options.seconds, folder, options.zones, options.leaving)))
        for problem in soak.problems[:10]:
            print(problem)
        failed += bool(soak.problems)
        kept = f" logs {folder}" if soak.problems else ""
        print(f"seed {seed}: {soak.counts['ok']} of {soak.counts['asked']} answered, "
              f"{soak.counts['calm_ok']} of {soak.counts['calm']} at calm VMs, {len(soak.played)} faults, "
              f"{len(soak.problems)} promises broken{kept}", flush=True)
    print(f"{len(seeds_from(options.seeds)) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
