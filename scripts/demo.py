#!/usr/bin/env python3
"""Runs three entries of the New England deployment: lookups, a ticket, a killed entry, a failed leaf, a planned stop.

Exits with 0 only if every step had the expected outcome.
"""
import sys
import time

from cluster import Cluster

FAILURES = []


def expect(condition, text):
    if not condition:
        FAILURES.append(text)
        print(f"  NOT AS EXPECTED: {text}")


def show(label, status, answer):
    covered, missing = len(answer.get("covered", [])), len(answer.get("missing", []))
    print(f"  {label:34} {answer.get('outcome', '?'):8} {answer.get('reason', ''):14} http={status} "
          f"coverage={covered}/{covered + missing} snapshot={answer.get('snapshot')} "
          f"elapsed_ms={answer.get('elapsed_ms', 0):.1f}")


def ask(cluster, entry, kind, outcomes, label, **body):
    status, answer = cluster.lookup(entry, kind, **body)
    show(label, status, answer)
    expect(answer.get("outcome") in outcomes, f"{label}: outcome {answer.get('outcome')}, expected one of {outcomes}")
    return answer


def main():
    with Cluster(sys.argv[1], entries=3) as cluster:
        print("starting stand-in and three entries of New England")
        cluster.start()
        print("lookups on each entry")
        for entry in (1, 2, 3):
            ask(cluster, entry, "changeover-recipes", ("whole",), f"urgent, entry {entry}")
            ask(cluster, entry, "part-histories", ("whole", "partial"), f"ordinary, entry {entry}")
        print("a non-idempotent request: get a ticket, send the request with it, then send it again to other entries")
        first = ask(cluster, 1, "changeover-log-entry", ("not_run",), "without a ticket", key="line-7")
        for entry in (1, 2, 3):
            ask(cluster, entry, "changeover-log-entry", ("whole",), f"with the ticket, entry {entry}", key="line-7",
                ticket=first.get("ticket", ""), request_id="log-entry-demo")
        runs = cluster.control("runs")["runs"].get("log-entry-demo", 0)
        print(f"  leafs ran the request {runs} time(s)")
        expect(runs == 1, "the request ran exactly once")
        print("killing entry 3 (SIGKILL)")
        cluster.kill(3)
        for entry in (1, 2):
            ask(cluster, entry, "changeover-recipes", ("whole", "partial"), f"urgent, entry {entry}")
        print("failing leaf 0 of shard 0 (it stops answering)")
        cluster.control("faults", leaf=0, dead=True)
        for entry in (1, 2, 1, 2):
            ask(cluster, entry, "changeover-recipes", ("whole", "partial"), f"urgent, entry {entry}")
        print("stopping all processes by SIGTERM")
        began = time.monotonic()
        codes = cluster.stop_all()
        print(f"  exit codes {codes} after {time.monotonic() - began:.1f} s")
        expect(all(code == 0 for code in codes.values()), "all processes exited with 0")
    print("demo:", "as expected" if not FAILURES else f"{len(FAILURES)} step(s) not as expected")
    return 1 if FAILURES else 0


if __name__ == "__main__":
    sys.exit(main())
