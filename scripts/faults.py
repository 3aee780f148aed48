#!/usr/bin/env python3
"""Runs eight New England entries under load and faults: kills, pauses, a platform outage, a planned stop.

Depends on the machine's speed, so it is not part of CI. Exits with 1 if an answer was wrong, missing, had duplicate rows,
belonged to another request or falsely_not_run said "not run", or if a time bound was exceeded.
"""
import json
import signal
import sys
import threading
import time

from cluster import Cluster, request

ENTRIES = 8
FAILURES = []


def expect(condition, text):
    print(f"  {'ok  ' if condition else 'FAIL'} {text}")
    if not condition:
        FAILURES.append(text)


class Callers:
    """Caller threads, each with its own entry. Every answer is checked when it arrives."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.lock = threading.Lock()
        self.seen = []  # (time, entry, outcome, reason)
        self.wrong = []
        self.not_run = []  # ids of requests that were answered "not run"
        self.down = set()  # killed, paused or stopped entries: they are expected not to answer
        self.end = False
        self.threads = [threading.Thread(target=self.run, args=(entry,)) for entry in range(1, ENTRIES + 1)]
        for thread in self.threads:
            thread.start()

    def run(self, entry):
        number = 0
        while not self.end:
            if entry in self.down:
                time.sleep(0.05)
                continue
            number += 1
            kind = "changeover-recipes" if number % 3 else "part-histories"
            name = f"caller{entry}-{number}"
            status, answer = self.cluster.lookup(entry, kind, request_id=name, time_limit_ms=1000)
            self.check(entry, name, status, answer)
            time.sleep(0.03)

    def check(self, entry, name, status, answer):
        with self.lock:
            if entry in self.down:
                return
            outcome = answer.get("outcome", "silence")
            self.seen.append((time.monotonic(), entry, outcome, answer.get("reason", "")))
            if outcome == "not_run":
                self.not_run.append(name)
            if status == 0:
                self.wrong.append(f"no answer: {name}")
                return
            shards = answer.get("covered", []) + [missing["shard"] for missing in answer.get("missing", [])]
            started = outcome in ("whole", "partial", "failed")
            if answer.get("request_id") != name:
                self.wrong.append(f"answer to another request: {name}")
            if started and sorted(shards) != list(range(20)):
                self.wrong.append(f"shards not covered exactly once: {name}")
            if outcome == "whole" and answer.get("missing"):
                self.wrong.append(f"outcome whole with missing shards: {name}")
            rows = [row["id"] for row in answer.get("rows", [])]
            if len(rows) != len(set(rows)):
                self.wrong.append(f"duplicate rows: {name}")

    def seconds_until_complete(self, since, want=20, limit=15):
        """Seconds from `since` until the first of `want` consecutive complete answers; None after `limit` seconds."""
        while time.monotonic() - since < limit:
            with self.lock:
                recent = [entry for entry in self.seen if entry[0] > since]
            run, began = 0, None
            for moment, _, outcome, _ in recent:
                began = moment if run == 0 else began
                run = run + 1 if outcome == "whole" else 0
                if run >= want:
                    return began - since
            time.sleep(0.05)
        return None

    def stop(self):
        self.end = True
        for thread in self.threads:
            thread.join()


def revisions(cluster, entries):
    return {request(cluster.url(entry) + "/v1/status")[1].get("catalogue_revision") for entry in entries}


def publish_revision(cluster, revision):
    document = json.loads((cluster.folder / "catalogue.json").read_text())
    document["revision"] = revision
    cluster.publish("catalogue", document)


def await_revision(cluster, entries, revision, limit):
    began = time.monotonic()
    while time.monotonic() - began < limit:
        if revisions(cluster, entries) == {revision}:
            return time.monotonic() - began
        time.sleep(0.02)
    return None


def report(callers, since, what):
    seconds = callers.seconds_until_complete(since)
    expect(seconds is not None, f"{what}: complete answers again after {seconds if seconds is None else round(seconds, 2)} s")


def main():
    with Cluster(sys.argv[1], entries=ENTRIES, settings={"log_answers": False}) as cluster:
        print(f"starting {ENTRIES} entries")
        cluster.start()
        callers = Callers(cluster)
        report(callers, time.monotonic(), "no fault")

        print("non-idempotent requests with one ticket each, sent to several VMs")
        not_exactly_once, ticketed_requests = 0, 40
        for number in range(ticketed_requests):
            first, second = 1 + number % ENTRIES, 1 + (number + 3) % ENTRIES
            ticket = cluster.lookup(first, "changeover-log-entry", key=f"k{number}")[1].get("ticket", "")
            for entry in (first, second, first):
                cluster.lookup(entry, "changeover-log-entry", key=f"k{number}", ticket=ticket, request_id=f"claim{number}")
        runs = cluster.control("runs")["runs"]
        not_exactly_once = sum(1 for number in range(ticketed_requests) if runs.get(f"claim{number}", 0) != 1)
        expect(not_exactly_once == 0,
               f"{ticketed_requests} requests with tickets over several VMs: {not_exactly_once} did not run exactly once")

        print("catalogue change, then one followed by a platform outage")
        publish_revision(cluster, 2)
        seconds = await_revision(cluster, range(1, ENTRIES + 1), 2, 5)
        expect(seconds is not None and seconds <= 2, f"revision 2 in force on all after {seconds} s")
        publish_revision(cluster, 3)
        while 3 not in revisions(cluster, range(1, ENTRIES + 1)):
            pass  # the outage starts as soon as one reader has the revision
        cluster.control("config", mode="down")
        seconds = await_revision(cluster, range(1, ENTRIES + 1), 3, 5)
        expect(seconds is not None and seconds <= 2, f"revision 3 in force on all after {seconds} s, platform down")
        cluster.control("config", mode="up")

        print("entry killed")
        callers.down.add(8)
        since = time.monotonic()
        cluster.kill(8)
        report(callers, since, "entry 8 killed")
        print("entry paused for 3 s")
        callers.down.add(7)
        since = time.monotonic()
        cluster.signal(7, signal.SIGSTOP)
        report(callers, since, "entry 7 paused")
        time.sleep(3)
        cluster.signal(7, signal.SIGCONT)
        time.sleep(0.5)
        callers.down.discard(7)
        report(callers, time.monotonic(), "entry 7 resumed")
        print("entry restarted")
        cluster.start_entry(8)
        cluster.await_ready(8)
        callers.down.discard(8)
        report(callers, time.monotonic(), "entry 8 restarted")

        print("unresponsive leaf")
        since = time.monotonic()
        cluster.control("faults", leaf=0, dead=True)
        report(callers, since, "leaf 0 unresponsive")
        cluster.control("faults", leaf=0)
        print("leaf that announces its leaving only in its health answers")
        cluster.control("faults", leaf=2, silent_leaving=True)
        time.sleep(5)
        leafs = {leaf["leaf"]: leaf for leaf in cluster.control("counters")["leafs"]}
        late = leafs[2]["new_work_ms_after_leaving"]
        expect(late <= 3000, f"last new work reached the leaving leaf {late:.0f} ms after its announcement")

        print("planned stop of entry 6 under load")
        before = len([entry for entry in callers.seen if entry[1] == 6])
        cluster.signal(6, signal.SIGTERM)
        while request(cluster.url(6) + "/v1/ready")[0] == 200:
            time.sleep(0.01)
        time.sleep(0.5)  # the load balancer reacts late
        callers.down.add(6)
        code = cluster.processes.pop(6).wait(timeout=20)
        expect(code == 0, f"entry 6 exited with {code}")
        expect(len([entry for entry in callers.seen if entry[1] == 6]) > before, "entry 6 answered while stopping")
        callers.stop()
        outcomes = {}
        for _, _, outcome, reason in callers.seen:
            outcomes[f"{outcome} {reason}".strip()] = outcomes.get(f"{outcome} {reason}".strip(), 0) + 1
        print(f"answers: {outcomes}")
        expect(not callers.wrong, f"wrong or missing answers: {len(callers.wrong)} {callers.wrong[:3]}")
        runs = cluster.control("runs")["runs"]
        falsely_not_run = [name for name in callers.not_run if runs.get(name, 0) > 0]
        expect(not falsely_not_run, f"falsely answered not run: {len(falsely_not_run)} of {len(callers.not_run)}")
        cluster.stop_all()
    print("faults:", "all as expected" if not FAILURES else f"{len(FAILURES)} not as expected")
    return 1 if FAILURES else 0


if __name__ == "__main__":
    sys.exit(main())
