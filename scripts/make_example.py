#!/usr/bin/env python3
"""Writes the documents of an example deployment: topology, VM list, catalogue, settings of each entry.

Generates the files under examples/. Run it again after a change of the sizes below.
Usage: make_example.py new-england|southern-vietnam OUT_DIR [--entries N] [--net 127.0.1]
"""
import argparse
import json
import pathlib

DEPLOYMENTS = {
    "new-england": {
        "zones": ["lowell", "nashua", "worcester", "portland"],
        # name, shards, leafs of each shard, slots and connections of each leaf
        "services": [
            ("line-assist", 20, 2, 2, 25),
            ("schedule-board", 30, 2, 2, 25),
            ("maint-planner", 1, 4, 6, 110),
            ("audit-log", 1, 4, 6, 110),
        ],
        "kinds": [
            dict(name="changeover-recipes", owner="changeover-team", **{"class": "urgent"}, service="line-assist",
                 fan_out="all", repeatable=True, whole_only=False, min_coverage=0.9, soft_limit_ms=150,
                 hard_limit_ms=400, max_in_flight=400, max_per_second=4000, max_rows=20),
            dict(name="stoppage-reports", owner="changeover-team", **{"class": "urgent"}, service="schedule-board",
                 fan_out="all", repeatable=True, whole_only=False, min_coverage=0.9, soft_limit_ms=150,
                 hard_limit_ms=400, max_in_flight=400, max_per_second=4000, max_rows=20),
            dict(name="part-histories", owner="maintenance", **{"class": "ordinary"}, service="line-assist",
                 fan_out="all", repeatable=True, whole_only=False, min_coverage=0.8, soft_limit_ms=400,
                 hard_limit_ms=1000, max_in_flight=400, max_per_second=4000, max_rows=50),
            dict(name="changeover-log-entry", owner="audit", **{"class": "urgent"}, service="audit-log",
                 fan_out="by_key", repeatable=False, soft_limit_ms=1000, hard_limit_ms=1000, max_in_flight=100,
                 max_per_second=500),
        ],
    },
    "southern-vietnam": {
        "zones": ["binh-duong", "dong-nai", "thu-duc", "long-an"],
        "services": [
            ("bay-assist", 20, 2, 2, 25),
            ("fleet-ledger", 30, 2, 2, 25),
            ("order-desk", 1, 5, 4, 40),
            ("van-dispatch", 1, 4, 4, 40),
        ],
        "kinds": [
            dict(name="fault-lookup", owner="bay-systems", **{"class": "urgent"}, service="bay-assist", fan_out="all",
                 repeatable=True, whole_only=True, soft_limit_ms=600, hard_limit_ms=600, max_in_flight=400,
                 max_per_second=4000, max_rows=20),
            dict(name="parts-matching", owner="dispatch", **{"class": "ordinary"}, service="fleet-ledger",
                 fan_out="all", repeatable=True, whole_only=True, soft_limit_ms=1000, hard_limit_ms=1000,
                 max_in_flight=400, max_per_second=4000, max_rows=50),
            dict(name="parts-claim", owner="order-desk", **{"class": "urgent"}, service="order-desk",
                 fan_out="by_key", repeatable=False, soft_limit_ms=1500, hard_limit_ms=1500, max_in_flight=100,
                 max_per_second=500),
            dict(name="work-order-entry", owner="order-desk", **{"class": "urgent"}, service="order-desk",
                 fan_out="by_key", repeatable=False, soft_limit_ms=1500, hard_limit_ms=1500, max_in_flight=100,
                 max_per_second=500),
        ],
    },
}
FIRST_LEAF_PORT = 21000
PLATFORM = "http://127.0.0.1:18500"


def topology(spec):
    leafs, services = [], []
    for name, shard_count, leafs_each, slots, connections in spec["services"]:
        shards = []
        for shard in range(shard_count):
            ids = []
            for replica in range(leafs_each):
                leaf = len(leafs)
                zone = spec["zones"][(shard + replica) % len(spec["zones"])]
                leafs.append(dict(id=leaf, address="127.0.0.1", port=FIRST_LEAF_PORT + leaf, zone=zone, slots=slots,
                                  connections=connections, incarnation=1))
                ids.append(leaf)
            shards.append(dict(shard=shard, leafs=ids))
        services.append(dict(name=name, snapshot=1, map_version=1, shards=shards))
    return dict(revision=1, services=services, leafs=leafs)


def vms(spec, entries, net):
    return dict(revision=1, vms=[
        dict(id=number, zone=spec["zones"][(number - 1) % 4], address=f"{net}.{number}", peer_port=17000,
             http_port=18080) for number in range(1, entries + 1)])


def settings(vm):
    return dict(vm=vm["id"], zone=vm["zone"],
                listen=dict(address=vm["address"], http_port=vm["http_port"], peer_port=vm["peer_port"]),
                platform=dict(url=PLATFORM))


def write(path, document):
    path.write_text(json.dumps(document, indent=1) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=DEPLOYMENTS)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--net", default="127.0.1")
    args = parser.parse_args()
    spec = DEPLOYMENTS[args.deployment]
    args.out.mkdir(parents=True, exist_ok=True)
    listed = vms(spec, args.entries, args.net)
    write(args.out / "topology.json", topology(spec))
    write(args.out / "vms.json", listed)
    write(args.out / "catalogue.json", dict(revision=1, published_by="operators", kinds=spec["kinds"]))
    for vm in listed["vms"]:
        write(args.out / f"entry-{vm['id']}.json", settings(vm))


if __name__ == "__main__":
    main()
