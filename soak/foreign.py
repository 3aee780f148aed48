"""The soak beside others' mistakes: `soak/soak.py PROGRAM --foreign`.

Another writer leaves entries among those of the leafs and of the operators, several kinds at once, and leafs answer with
statuses outside the protocol or without end, while VMs, leafs and the store have the usual faults.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform" / "tests"))
from foreign_entries import ALL_KINDS, KINDS, MEMORY_MB, peak_memory_mb  # noqa: E402
from soak import Soak  # noqa: E402

FOLDERS = ("servers/", "op/notes/")
STATUSES = range(200, 600)  # of a final answer


class ForeignSoak(Soak):
    vm_settings = {"memory_mb": 260}

    def __init__(self, program, seed, seconds, folder, masses=False):
        super().__init__(program, seed, seconds, folder)
        self.kinds = ALL_KINDS if masses else KINDS
        self.foreign_random = random.Random(f"{seed}/foreign")

    def extra_faults(self):
        return [self.foreign_faults()]

    async def foreign_faults(self):
        end, tasks = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.foreign_random.uniform(0.3, 1.2))
            fault = self.foreign_random.choice([self.write_entries, self.answer_oddly])
            self.injected.append(fault.__name__)
            tasks.append(asyncio.create_task(fault()))
        await asyncio.gather(*tasks)

    async def write_entries(self):
        kind, folder = self.foreign_random.choice(list(self.kinds)), self.foreign_random.choice(FOLDERS)
        for key, value in self.kinds[kind]:
            self.store.write_bytes(f"{folder}{kind}-{key}", value)
        await asyncio.sleep(self.foreign_random.uniform(0.5, 4.0))
        for key, _ in self.kinds[kind]:
            self.store.write_bytes(f"{folder}{kind}-{key}", None)

    async def answer_oddly(self):
        leaf = self.foreign_random.choice(self.leafs)
        if leaf.mode == "ok":
            leaf.mode = self.foreign_random.choice(["odd_status", "endless"])
            await asyncio.sleep(self.foreign_random.uniform(0.3, 2.0))
            leaf.mode = "ok"

    def check_one(self, request_id, path, answer, runs):
        super().check_one(request_id, path, answer, runs)
        if answer is not None and answer[0] not in STATUSES:
            self.broken("status", f"{request_id} got {answer[0]}")

    async def end(self):
        for vm in self.vms:
            if vm.process.returncode is None and (memory := peak_memory_mb(vm.process.pid)) > MEMORY_MB:
                self.broken("memory", f"vm-{vm.at} took {memory:.0f} MB")
        await super().end()
