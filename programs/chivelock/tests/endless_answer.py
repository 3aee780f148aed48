#!/usr/bin/env python3
"""Tests that the command line program stops reading an answer at its limit of 16 MB and reports one it can't use.

    programs/chivelock/tests/endless_answer.py PROGRAM

Exit code 1 if a check fails.
"""

import asyncio
import json
import sys

MAX_ANSWER_BYTES = 16 << 20
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


async def ask(program, body_bytes):
    """Returns what `status` prints about an entry whose answer has so many bytes."""
    page = json.dumps({"filler": ""})
    body = page[:-2] + "x" * (body_bytes - len(page)) + page[-2:]
    taken = asyncio.get_running_loop().create_future()

    async def answer(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + body.encode())
            await writer.drain()
            writer.write_eof()
            taken.set_result(await reader.read() == b"")
        except ConnectionError:
            taken.set_result(False)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.1.9", 0)
    entry = "http://127.0.1.9:%d" % server.sockets[0].getsockname()[1]
    process = await asyncio.create_subprocess_exec(
        program, "status", "--entry", entry, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
    printed, _ = await asyncio.wait_for(process.communicate(), 20)
    await asyncio.wait_for(taken, 5)
    server.close()
    return printed.decode()


async def main():
    accepted = await ask(sys.argv[1], MAX_ANSWER_BYTES)
    refused = await ask(sys.argv[1], MAX_ANSWER_BYTES + 1)
    failure = "writing received data"  # what libcurl says of an answer that its user does not take
    passed = "not a status page" in accepted and failure in refused
    print("passed" if passed else f"FAILED: {accepted!r} {refused!r}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
