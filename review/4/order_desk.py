"""A leaf of the service order-desk, as a process of its own: order_desk.py PORT ID

It answers a long request before it has read all of its body, sends its answer without a length, in two halves, and
then reads the rest of the request. The answer ends with its connection. Prints one line for each step.
"""

import hashlib
import random
import socket
import sys
import threading
import time

ANSWER_BYTES, PAUSE_S = 3000, 0.5


def answer_to(request_id):
    """Returns the whole body of the answer to a request."""
    return random.Random(request_id).randbytes(ANSWER_BYTES)


def digest_of(leaf_id, body):
    return f"{leaf_id}.{hashlib.sha256(body).hexdigest()[:16]}"


def serve(connection, leaf_id):
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(1024)
        if not more:
            return connection.close()
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    request_id, length = headers.get("request-id", ""), int(headers.get("content-length", "0"))
    if headers.get("expect-instance") != leaf_id:
        connection.sendall(f"HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode())
        return connection.close()
    body = answer_to(request_id)
    print(f"ran {request_id}", flush=True)
    connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nConnection: close\r\n"
                       f"Response-Stamp: {digest_of(leaf_id, body)}\r\n\r\n".encode() + body[:ANSWER_BYTES // 2])
    print(f"half {request_id} body_read={len(rest)} of {length}", flush=True)
    time.sleep(PAUSE_S)
    connection.sendall(body[ANSWER_BYTES // 2:])
    left = length - len(rest)
    while left > 0 and (more := connection.recv(min(left, 65536))):
        left -= len(more)
    print(f"whole {request_id} unread={left}", flush=True)
    connection.close()


def main():
    port, leaf_id = int(sys.argv[1]), sys.argv[2]
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # As on a real network, where segments are short and windows small: on loopback the kernel would take the whole body.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    listener.bind(("127.0.4.1", port))
    listener.listen(64)
    print("listens", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, leaf_id), daemon=True).start()


if __name__ == "__main__":
    main()
