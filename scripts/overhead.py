#!/usr/bin/env python3
"""Measures the latency that chivelock adds to a lookup, and the leaf requests for each second of its processor time.

Leafs take a fixed 5 ms without stragglers. The rest of a lookup's time is spent in chivelock, the stand-in and the
kernel.
Usage: overhead.py BUILD_DIR [LOOKUPS_PER_SECOND] [SECONDS]
"""
import os
import re
import subprocess
import sys
import urllib.request

from cluster import Cluster

LEAF_MS = 5.0


def processor_seconds(process):
    fields = open(f"/proc/{process.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def leaf_requests(cluster, entry):
    text = urllib.request.urlopen(cluster.url(entry) + "/metrics", timeout=5).read().decode()
    return sum(float(value) for value in re.findall(r'chivelock_leaf_requests_total\{[^}]*\} (\S+)', text))


def main():
    build, rate = sys.argv[1], float(sys.argv[2]) if len(sys.argv) > 2 else 50
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 10
    with Cluster(build, entries=3, settings={"log_answers": False}) as cluster:
        cluster.start()
        cluster.control("times", base_ms=LEAF_MS, exponential_ms=0, straggler_share=0)
        urls = [part for entry in (1, 2, 3) for part in ("--entry", cluster.url(entry))]
        command = [f"{build}/programs/chivelock/chivelock", "load", *urls, "--kind", "changeover-recipes", "--quiet"]
        subprocess.run([*command, "--rate", "20", "--seconds", "3"], check=True, capture_output=True)
        spent = {entry: processor_seconds(cluster.processes[entry]) for entry in (1, 2, 3)}
        sent = {entry: leaf_requests(cluster, entry) for entry in (1, 2, 3)}
        result = subprocess.run([*command, "--rate", str(rate), "--seconds", str(seconds)], check=True,
                                capture_output=True, text=True).stdout
        print(result, end="")
        for entry in (1, 2, 3):
            cpu = processor_seconds(cluster.processes[entry]) - spent[entry]
            requests = leaf_requests(cluster, entry) - sent[entry]
            print(f"entry {entry}: {requests:.0f} leaf requests in {cpu:.2f} processor seconds: "
                  f"{requests / max(cpu, 0.01):.0f} for each second of a core")
        print(f"leafs take {LEAF_MS} ms; the rest of a lookup's time is overhead")
        cluster.stop_all()


if __name__ == "__main__":
    main()
