#!/usr/bin/env python3
"""Tests one real process with the project's own interface, in front of a scripted leaf.

    programs/chivelockd/tests/own_interface.py PROGRAM

Exit code 1 if a check fails.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "platform" / "standin"))
from platform_standin import read_message, response  # noqa: E402

ADDRESS = "127.0.1.1"
LOOKUPS = 40
NESTED_LEVELS = 250_000


def json_response(document):
    return response(200, {"Content-Type": "application/json"}, json.dumps(document).encode())


class Documents:
    """Publishes the documents of one VM and one shard with one leaf."""

    def __init__(self, vm_port, leaf_port):
        leaf = {"id": 0, "address": "127.0.0.1", "port": leaf_port, "zone": "z", "slots": 8, "connections": 20,
                "incarnation": 1}
        service = {"name": "s", "snapshot": 1, "map_version": 1, "shards": [{"shard": 0, "leafs": [0]}]}
        kind = {"name": "k", "owner": "o", "class": "urgent", "service": "s", "fan_out": "all", "repeatable": True,
                "whole_only": True, "soft_limit_ms": 600, "hard_limit_ms": 600, "max_in_flight": 400,
                "max_per_second": 4000, "max_rows": 20}
        vm = {"id": 1, "zone": "z", "address": ADDRESS, "peer_port": vm_port, "http_port": vm_port + 1}
        self.documents = {"vms": {"revision": 1, "vms": [vm]},
                          "topology": {"revision": 1, "services": [service], "leafs": [leaf]},
                          "catalogue": {"revision": 1, "published_by": "o", "kinds": [kind]}}

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            path, _, query = message[0].split(" ")[1].partition("?")
            parameters = dict(urllib.parse.parse_qsl(query))
            if parameters.get("after", "0") == "0":
                writer.write(json_response(self.documents[path.rpartition("/")[2]]))
            else:
                await asyncio.sleep(int(parameters["wait_ms"]) / 1000)
                writer.write(response(204, {}))


class ScriptedLeaf:
    """Sends each reply twice if `second` is with_the_first, while_idle or before_the_next reply. Takes longer for a query
    that begins with "slow"."""

    def __init__(self):
        self.second = "never"
        self.status = 200  # of replies to searches
        self.nested_field = None  # of the reply and its row that holds nested lists

    async def serve(self, reader, writer):
        previous = b""
        while (message := await read_message(reader)) is not None:
            if b'"slow' in message[2]:
                await asyncio.sleep(0.05)
            reply = self.reply_to(message)
            writer.write((previous if self.second == "before_the_next" else b"") + reply)
            if self.second == "with_the_first":
                writer.write(reply)
            elif self.second == "while_idle":
                await writer.drain()
                await asyncio.sleep(0.003)
                writer.write(reply)
            previous = reply

    def reply_to(self, message):
        if not message[0].startswith("POST /v1/search "):
            return json_response({"state": "serving", "incarnation": 1})
        if self.nested_field is not None:
            row = {"id": "a", "score": 1.0, "data": None, self.nested_field: "here"}
            document = {"shard": 0, "snapshot": 1, "map_version": 1, "incarnation": 1, "rows": [row],
                        self.nested_field: "here"}
            text = json.dumps(document).replace('"here"', nested(NESTED_LEVELS))
            return response(200, {"Content-Type": "application/json"}, text.encode())
        search = json.loads(message[2])
        row = {"id": search["query"], "score": 1.0, "data": None}
        document = {"shard": search["shard"], "snapshot": search["snapshot"], "map_version": search["map_version"],
                    "incarnation": 1, "rows": [row]}
        return response(self.status, {"Content-Type": "application/json"}, json.dumps(document).encode())


class Fixture:
    def __init__(self, program):
        self.program, self.folder = program, pathlib.Path(tempfile.mkdtemp(prefix="replies-"))
        self.port, self.leaf = 10000 + (os.getpid() * 41) % 20000, ScriptedLeaf()
        self.process = None

    async def start(self):
        leaf = await asyncio.start_server(self.leaf.serve, "127.0.0.1", 0)
        documents = Documents(self.port, leaf.sockets[0].getsockname()[1])
        platform = await asyncio.start_server(documents.serve, "127.0.0.1", 0)
        settings = {"vm": 1, "zone": "z",
                    "listen": {"address": ADDRESS, "http_port": self.port + 1, "peer_port": self.port},
                    "platform": {"url": f"http://127.0.0.1:{platform.sockets[0].getsockname()[1]}"}}
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        with open(self.folder / "vm.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--settings", str(path), stdout=log, stderr=log)
        for _ in range(100):
            await asyncio.sleep(0.1)
            try:
                if await self.lookup("start") == ["start"]:
                    return
            except OSError:
                pass
        raise RuntimeError("no lookup was answered within 100 attempts")

    async def connect(self):
        return await asyncio.open_connection(ADDRESS, self.port + 1)

    async def lookup(self, query):
        """Returns the ids of the rows of the answer; none unless it is a success."""
        reader, writer = await self.connect()
        writer.write(lookup_request(query))
        rows = await read_rows(reader)
        writer.close()
        return rows


def lookup_request(query):
    body = json.dumps({"query": query, "time_limit_ms": 2000}).encode()
    return f"POST /v1/lookups/k HTTP/1.1\r\nHost: vm\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def read_rows(reader):
    """Returns the ids of the rows of the next answer, or None at the end of the connection."""
    answer = await asyncio.wait_for(read_message(reader), 5)
    return None if answer is None else [row["id"] for row in json.loads(answer[2]).get("rows", [])]


async def a_reply_with_an_odd_status_is_never_a_success(fixture):
    """Guards against rows of a leaf whose status says nothing: the library that reads it is lenient."""
    for fixture.leaf.status in ("000", "099", "20", "2000", "204", "600", "999", "two", ""):
        rows = await fixture.lookup(f"odd-{fixture.leaf.status}")
        assert not rows, (fixture.leaf.status, rows)
    fixture.leaf.status = 200
    for _ in range(50):
        if await fixture.lookup("behind_odd") == ["behind_odd"]:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("not served again")


async def a_second_reply_is_never_the_reply_to_another_lookup(fixture):
    """Guards against rows of another lookup: a reply does not name its request, so only its connection does."""
    for fixture.leaf.second in ("with_the_first", "while_idle", "before_the_next"):
        wrong = []
        for number in range(LOOKUPS):
            query = f"{fixture.leaf.second}-{number}"
            rows = await fixture.lookup(query)
            wrong += [(query, rows)] if rows != [query] else []
            await asyncio.sleep(0.01)
        assert not wrong, f"{len(wrong)} of {LOOKUPS} answers, the first: {wrong[0]}"
    fixture.leaf.second = "never"


async def a_faster_lookup_does_not_overtake_an_earlier_one_on_its_connection(fixture):
    """Guards against answers in the order in which they become ready: a caller matches them by the order it sent."""
    for number in range(10):
        reader, writer = await fixture.connect()
        writer.write(lookup_request(f"slow-{number}"))
        await asyncio.sleep(0.01)
        writer.write(lookup_request(f"fast-{number}"))
        assert await read_rows(reader) == [f"slow-{number}"], number
        assert await read_rows(reader) in ([f"fast-{number}"], None), number
        writer.close()


async def a_connection_serves_one_lookup_after_the_other(fixture):
    """Guards against dropping the request that follows an answer at once."""
    reader, writer = await fixture.connect()
    for number in range(200):
        writer.write(lookup_request(f"next-{number}"))
        assert await read_rows(reader) == [f"next-{number}"], number
    writer.close()


async def an_answer_to_head_has_no_body(fixture):
    """Guards against a body behind the head of such an answer: the caller reads it as the start of its next answer."""
    reader, writer = await fixture.connect()
    writer.write(b"HEAD /v1/none HTTP/1.1\r\nHost: vm\r\n\r\n")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
    assert head.startswith(b"HTTP/1.1 404 "), head
    writer.write(lookup_request("behind_head"))
    start = await asyncio.wait_for(reader.readexactly(9), 2)
    assert start == b"HTTP/1.1 ", start
    writer.close()


def nested(depth):
    return "[" * depth + "]" * depth


async def deeply_nested_documents_do_not_end_the_process(fixture):
    """Guards against a stack overflow: the JSON library copies and writes nested values by recursion."""
    body = f'{{"query":{nested(NESTED_LEVELS)},"time_limit_ms":2000}}'.encode()
    reader, writer = await fixture.connect()
    writer.write(f"POST /v1/lookups/k HTTP/1.1\r\nHost: vm\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    answer = await asyncio.wait_for(read_message(reader), 5)
    writer.close()
    assert answer is not None and answer[0].split(" ")[1] in ("400", "413"), answer
    for field in ("data", "id", "score", "shard", "incarnation", "leaving"):
        fixture.leaf.nested_field = field
        await fixture.lookup(f"nested {field}")
        assert fixture.process.returncode is None, field
    fixture.leaf.nested_field = None
    assert await fixture.lookup("behind_nested") == ["behind_nested"]


CHECKS = [a_reply_with_an_odd_status_is_never_a_success,
          deeply_nested_documents_do_not_end_the_process,
          a_second_reply_is_never_the_reply_to_another_lookup,
          a_faster_lookup_does_not_overtake_an_earlier_one_on_its_connection,
          a_connection_serves_one_lookup_after_the_other,
          an_answer_to_head_has_no_body]


async def run_checks(program):
    # Errors on stand-in connections that are closed at the end of the test are expected.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    fixture, failed = Fixture(program), 0
    try:
        await fixture.start()
        for check in CHECKS:
            try:
                await asyncio.wait_for(check(fixture), 30)
            except Exception as problem:  # any exception fails the check
                failed += 1
                print(f"FAILED {check.__name__}: {problem!r}; logs {fixture.folder}")
        assert fixture.process.returncode is None, "the process exited unexpectedly"
    finally:
        if fixture.process is not None and fixture.process.returncode is None:
            fixture.process.kill()
            await fixture.process.wait()
    print(f"{len(CHECKS) - failed} passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(run_checks(sys.argv[1])) else 0)
