"""Starts and stops a local deployment: the stand-in and some entries. Used by demo.py, faults.py and overhead.py."""
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

CONFIG = "http://127.0.0.1:18500"


def request(url, body=None, timeout=5, method=None):
    """Sends one HTTP request. Returns (status, parsed body); status 0 if there was no response."""
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    outgoing = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(outgoing, timeout=timeout) as reply:
            status, text = reply.status, reply.read()
    except urllib.error.HTTPError as http_error:
        status, text = http_error.code, http_error.read()
    except (OSError, urllib.error.URLError):
        return 0, {}
    try:
        return status, json.loads(text or b"{}")
    except json.JSONDecodeError:
        return status, {}


class Cluster:
    """The processes of one deployment. Stops only processes that it started, by process id."""

    def __init__(self, build, deployment="new-england", entries=3, settings=None):
        root = pathlib.Path(__file__).resolve().parent.parent
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chivelock-"))
        subprocess.run(["python3", root / "scripts/make_example.py", deployment, self.folder, "--entries", str(entries)],
                       check=True)
        for number in range(1, entries + 1):
            path = self.folder / f"entry-{number}.json"
            document = json.loads(path.read_text())
            for key, value in (settings or {}).items():
                document[key] = {**document[key], **value} if isinstance(document.get(key), dict) else value
            path.write_text(json.dumps(document))
        self.entries = entries
        self.processes = {}

    def url(self, entry):
        return f"http://127.0.1.{entry}:18080"

    def start_standin(self):
        files = {name: self.folder / f"{name}.json" for name in ("topology", "vms", "catalogue")}
        self._start("standin", [self.build / "standin/standin", "-t", files["topology"], "-l", files["vms"], "-k",
                                files["catalogue"]])
        self._await(lambda: request(CONFIG + "/v1/control/counters")[0] == 200, "stand-in")

    def start_entry(self, entry):
        self._start(entry, [self.build / "programs/chivelockd/chivelockd", "--settings",
                            self.folder / f"entry-{entry}.json"])

    def start(self):
        self.start_standin()
        for entry in range(1, self.entries + 1):
            self.start_entry(entry)
        for entry in range(1, self.entries + 1):
            self.await_ready(entry)
        self._await(lambda: all(self.all_alive(entry) for entry in range(1, self.entries + 1)), "members")

    def all_alive(self, entry):
        _, page = request(self.url(entry) + "/v1/status")
        return all(member["state"] == "alive" and member["incarnation"] for member in page.get("members", [{"state": "?"}]))

    def await_ready(self, entry):
        self._await(lambda: request(self.url(entry) + "/v1/ready")[0] == 200, f"entry {entry}")

    def lookup(self, entry, kind, **body):
        return request(f"{self.url(entry)}/v1/lookups/{kind}", {"query": {"line": 7}, "time_limit_ms": 2000, **body})

    def control(self, what, **body):
        return request(f"{CONFIG}/v1/control/{what}", body)[1]

    def publish(self, name, document):
        return request(f"{CONFIG}/v1/config/{name}", json.dumps(document).encode(), method="PUT")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def stop_all(self):
        """Sends SIGTERM to all processes, entries first. Returns the exit codes by name."""
        codes = {}
        names = [name for name in self.processes if name != "standin"]
        for name in names:
            self.signal(name, signal.SIGTERM)
        for name in names:
            codes[name] = self.processes.pop(name).wait(timeout=30)
        if "standin" in self.processes:
            self.signal("standin", signal.SIGTERM)
            codes["standin"] = self.processes.pop("standin").wait(timeout=30)
        return codes

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def _start(self, name, command):
        log = open(self.folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log)

    def _await(self, is_ready, what, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if is_ready():
                return
            time.sleep(0.05)
        raise RuntimeError(f"{what} not ready after {seconds} s; logs in {self.folder}")
