#!/usr/bin/env python3
"""Derives the table of docs/CAPACITY.md from measured slopes.

Usage: capacity.py BUILD_DIR          runs bench/slopes, records its output in docs/capacity/slopes.csv, derives the table
       capacity.py --slopes FILE.csv  derives the table from recorded slopes
"""
import collections
import pathlib
import subprocess
import sys

NODES, LEAFS, RATE, FAN_OUT = 3500, 20000, 760_000, 1800
CHANGES_A_DAY, RESTARTS_A_DAY, FAILS_A_DAY, ZONES = 2400, 1300, 66, 11
KINDS, SERVICE_SHARDS = 400, 1800
BATCH = 32
RECORDED = pathlib.Path(__file__).resolve().parent.parent / "docs/capacity/slopes.csv"


def parse_points(text):
    points = collections.defaultdict(list)
    for line in text.splitlines():
        measure, size, value, unit = line.split(",")
        points[measure].append((float(size), float(value), unit))
    return points


def fit(points):
    """Fits a + b * size by least squares. Returns (a, b, largest relative error)."""
    n = len(points)
    mean_x = sum(x for x, _, _ in points) / n
    mean_y = sum(y for _, y, _ in points) / n
    spread = sum((x - mean_x) ** 2 for x, _, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y, _ in points) / spread if spread else 0
    base = mean_y - slope * mean_x
    error = max(abs(base + slope * x - y) / y for x, y, _ in points if y)
    return base, slope, error


class Slopes:
    def __init__(self, points):
        self.points = points

    def at(self, measure, size):
        base, slope, _ = fit(self.points[measure])
        return base + slope * size

    def table(self):
        yield "| measure | sizes measured | base | slope per unit of size | largest error of the fit |"
        yield "|---|---|---|---|---|"
        for measure, points in self.points.items():
            base, slope, error = fit(points)
            sizes = ", ".join(f"{x:g}" for x, _, _ in points)
            yield f"| {measure} ({points[0][2]}) | {sizes} | {base:.4g} | {slope:.4g} | {error:.0%} |"


def limit_result(value, limit):
    return "holds" if value <= limit else f"**breaks** ({value / limit:.1f} times over)"


def derive(slopes):
    changes_per_second = CHANGES_A_DAY / 86400
    heartbeat = slopes.at("heartbeat_bytes", NODES)
    delta = slopes.at("catalogue_delta_bytes", KINDS) * changes_per_second * 2  # received once, forwarded about once
    control_bytes = heartbeat + delta
    list_bytes = NODES * 110
    list_rate = (RESTARTS_A_DAY + FAILS_A_DAY) / 86400
    list_traffic = list_bytes * list_rate
    cpu_members = slopes.at("membership_cpu", NODES)
    cpu_changes = slopes.at("catalogue_delta_cpu", KINDS) * changes_per_second
    churn = (RESTARTS_A_DAY + FAILS_A_DAY) * 2 / 86400
    cpu_assign = slopes.at("assign_cpu_3500_runners", SERVICE_SHARDS) * churn
    control_cpu = (cpu_members + cpu_changes + cpu_assign) / 1e6
    memory_members = slopes.at("membership_heap", NODES)
    memory_map = slopes.at("topology_heap", SERVICE_SHARDS) * LEAFS / (2 * SERVICE_SHARDS)
    memory = memory_members + memory_map
    spread = max(y for _, y, _ in slopes.points["change_spread_zone_lost"]) + 250
    per_node = RATE * FAN_OUT / NODES
    per_leaf = RATE * FAN_OUT / LEAFS
    lookups = RATE / NODES
    root_cores = slopes.at("root_cpu", FAN_OUT) * lookups / 1e6
    codec_cores = slopes.at("codec_cpu", FAN_OUT) * lookups / 1e6
    # A straight line fits the runner badly because its tables outgrow the caches: use the highest cost per shard.
    runner_cores = max(y / x for x, y, _ in slopes.points["runner_cpu"]) * per_node / 1e6
    reply_rate = slopes.at("reply_bytes", FAN_OUT) * lookups
    in_flight = lookups * 0.05
    lookup_memory = slopes.at("lookup_heap", FAN_OUT) * in_flight
    watch_reads = NODES * 3 / 10
    rows = [
        ("control: bytes a second a node", f"{control_bytes:,.0f} B/s", "2,048 B/s", limit_result(control_bytes, 2048),
         "one heartbeat each 200 ms to the next member, with rumours and revisions; deltas of the catalogue"),
        ("control: VM list, if published whole", f"{list_traffic:,.0f} B/s", "in the 2,048 B/s",
         limit_result(list_traffic + control_bytes, 2048), f"{list_bytes:,} B a publication, {list_rate * 86400:,.0f} a day"),
        ("control: processor", f"{control_cpu:.2%} of a core", "2.7%", limit_result(control_cpu, 0.027),
         "membership, catalogue deltas, ownership made anew after each join and leave"),
        ("control: memory", f"{memory / 1e6:,.0f} MB", "128 MB", limit_result(memory, 128e6),
         f"members {memory_members / 1e6:.1f} MB, shard maps of {LEAFS:,} leafs {memory_map / 1e6:.0f} MB"),
        ("change in force everywhere, a zone lost", f"{spread / 1000:.1f} s", "11 s", limit_result(spread, 11000),
         "revision in each heartbeat, pull from whoever is ahead; worst of the sizes measured, plus a first read"),
        ("configuration reads, every node watching", f"{watch_reads:,.0f} /s", "2,000 /s", limit_result(watch_reads, 2000),
         "three watches of 10 s a node"),
        ("configuration reads, all start at once", f"{NODES * 3:,} in the first second", "2,000 /s",
         limit_result(NODES * 3, 2000), "three first reads a node; retry with jitter spreads what is refused"),
        ("data: leaf requests a second a node", f"{per_node:,.0f}", "12,000 a core aimed at",
         limit_result(per_node, 12000 * 4), "one HTTP request for each shard of each lookup"),
        ("data: requests a second a leaf", f"{per_leaf:,.0f}", "2 slots", "**breaks** without batching",
         f"batches of {BATCH} would make {per_leaf / BATCH:,.0f} requests a second"),
        ("data: root, decisions", f"{root_cores:.1f} cores", "4 cores", limit_result(root_cores, 4),
         "plan, one reply a shard, merge"),
        ("data: root, codec", f"{codec_cores:.1f} cores", "4 cores", limit_result(codec_cores, 4),
         "one frame a shard; a frame a runner would carry all its shards"),
        ("data: runner, decisions", f"{runner_cores:.1f} cores", "4 cores", limit_result(runner_cores, 4),
         "admission, queue, choice, hedge timers"),
        ("data: bytes a second into a root", f"{reply_rate / 1e6:,.0f} MB/s", "1,250 MB/s",
         limit_result(reply_rate, 1250e6), "two short rows a shard; merging on the way up cuts it by the shards of a runner"),
        ("data: memory of lookups in flight", f"{lookup_memory / 1e6:,.0f} MB", "1,000 MB",
         limit_result(lookup_memory, 1e9), f"{in_flight:,.0f} in flight at 50 ms each"),
        ("data: connections a leaf, every node direct", f"{NODES:,}", "25", limit_result(NODES, 25), "direct mode"),
        ("data: connections a leaf, runner owns the shard", "4", "25", limit_result(4, 25),
         "slots + 1 and one for health and cancels"),
    ]
    yield "| what | at letter 1's size | limit | verdict | mechanism, basis |"
    yield "|---|---|---|---|---|"
    for what, value, limit, result, basis in rows:
        yield f"| {what} | {value} | {limit} | {result} | {basis} |"


def main():
    if sys.argv[1] == "--slopes":
        text = pathlib.Path(sys.argv[2]).read_text()
    else:
        text = subprocess.run([f"{sys.argv[1]}/bench/slopes"], check=True, capture_output=True, text=True).stdout
        RECORDED.write_text(text)
    slopes = Slopes(parse_points(text))
    print("\n".join(slopes.table()))
    print()
    print("\n".join(derive(slopes)))


if __name__ == "__main__":
    main()
